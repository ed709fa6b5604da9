/** The request plane: live requests, their limits, retries and deadlines. */
package org.acaciafold.daemon.request;
