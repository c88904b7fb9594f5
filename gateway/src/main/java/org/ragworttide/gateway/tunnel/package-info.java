/** Tunnels between VMs, through which a VM reaches upstreams to which its own way is cut. */
package org.ragworttide.gateway.tunnel;
