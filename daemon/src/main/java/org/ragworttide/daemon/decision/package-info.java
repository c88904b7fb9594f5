/**
 * Ports through which the HTTP path asks for decisions, and their single-daemon implementations.
 */
package org.ragworttide.daemon.decision;
