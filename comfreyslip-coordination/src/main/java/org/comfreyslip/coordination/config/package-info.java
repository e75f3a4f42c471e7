/**
 * The accepted configuration: the fold of the log stream {@code config}, its start from
 * log or peers, proposals, checkpoints and differences between texts.
 */
package org.comfreyslip.coordination.config;
