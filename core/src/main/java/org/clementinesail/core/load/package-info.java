/** The load of all VMs together on the targets, as the control VM that leads sums it up. */
package org.clementinesail.core.load;
