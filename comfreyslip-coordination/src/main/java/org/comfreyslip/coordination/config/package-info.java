/**
 * The accepted configuration: the fold of the log stream {@code config}, its bootstrap
 * from the log or from peers, proposals, checkpoints and differences between texts.
 */
package org.comfreyslip.coordination.config;
