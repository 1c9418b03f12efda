/** Files of a replica: framed log records, snapshots and the data folder's lock. */
package org.clementinesail.server.storage;
