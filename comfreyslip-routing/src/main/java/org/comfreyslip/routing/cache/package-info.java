/**
 * Index of the engines' prompt-prefix caches.
 */
package org.comfreyslip.routing.cache;
