/** TCP framing with MessagePack between entry hosts. */
package org.acaciafold.wire;
