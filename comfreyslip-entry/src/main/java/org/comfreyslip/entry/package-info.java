/**
 * The entry daemon: accepts requests of callers, admits or rejects them, selects an
 * endpoint and forwards them to it. Names that are specific to a platform are used in its
 * adapter only.
 */
package org.comfreyslip.entry;
