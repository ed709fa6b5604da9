/** Decisions on live requests: slots, queues, retry budgets and the ejection of bad replicas, without I/O. */
package org.acaciafold.core.request;
