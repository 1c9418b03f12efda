package org.clementinesail.server.wiring;

import org.clementinesail.server.control.ControlService;
import org.clementinesail.server.control.PeerRequests;
import org.clementinesail.server.control.ReplicaDriver;
import org.clementinesail.server.control.RulesSynchronizer;
import org.clementinesail.server.requests.CrashTracker;
import org.clementinesail.server.targets.TargetGossip;
import org.clementinesail.server.targets.TargetRegistry;
import org.jspecify.annotations.Nullable;

/**
 * The parts of a VM that frames are for.
 *
 * @param replica the local replica, or null
 * @param control answers requests
 * @param requests takes responses
 * @param rules takes hints of new rules
 * @param targets is told when the rules have changed
 * @param gossip takes statements about targets
 * @param crashes takes marks of crashes
 */
record FrameReceivers(
    @Nullable ReplicaDriver replica,
    ControlService control,
    PeerRequests requests,
    RulesSynchronizer rules,
    TargetRegistry targets,
    TargetGossip gossip,
    CrashTracker crashes) {}
