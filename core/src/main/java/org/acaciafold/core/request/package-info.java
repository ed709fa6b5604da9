/** Scheduling of live requests without I/O: slots, queues, retry budgets and the ejection of unhealthy replicas. */
package org.acaciafold.core.request;
