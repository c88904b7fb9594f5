/** Ports through which the HTTP path obtains decisions on rates, claims and placement. */
package org.ragworttide.daemon.decision;
