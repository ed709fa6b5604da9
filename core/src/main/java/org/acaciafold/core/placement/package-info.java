/** Tables of workers, tasks and workspaces, the systems that run over them each tick, and the policies they apply. */
package org.acaciafold.core.placement;
