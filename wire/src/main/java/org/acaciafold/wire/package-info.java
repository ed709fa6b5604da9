/** Peer-to-peer transport between entry hosts: framed TCP connections with MessagePack heads. */
package org.acaciafold.wire;
