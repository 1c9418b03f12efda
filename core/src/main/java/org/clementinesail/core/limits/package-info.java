/** Limits of workspaces: rate, concurrency, fair queueing and retry budgets. */
package org.clementinesail.core.limits;
