/** Decides whether and how many requests leave the availability zone of the VM; no I/O. */
package org.ragworttide.coordination.zones;
