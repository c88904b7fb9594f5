/** Checks and compares configurations before an operator publishes them; no I/O. */
package org.ragworttide.gateway.check;
