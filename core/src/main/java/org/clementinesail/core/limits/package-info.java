/** Limits on requests: rate and concurrency of workspaces, waits after a start, retry budgets. */
package org.clementinesail.core.limits;
