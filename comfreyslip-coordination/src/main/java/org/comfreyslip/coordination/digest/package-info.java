/**
 * Message digests for records and texts.
 */
package org.comfreyslip.coordination.digest;
