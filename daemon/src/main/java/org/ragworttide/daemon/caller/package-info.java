/** The listener towards callers. */
package org.ragworttide.daemon.caller;
