/** Passes the changes of the store on between VMs, so that only a few VMs read the store. */
package org.ragworttide.gateway.feed;
