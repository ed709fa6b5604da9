/** The live request services: live requests, their limits, retries and deadlines. */
package org.acaciafold.daemon.request;
