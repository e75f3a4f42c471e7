/**
 * Choice of paths for prompts of different lengths: long prompts delay the short ones
 * that an engine processes after them.
 */
package org.comfreyslip.entry.prompt;
