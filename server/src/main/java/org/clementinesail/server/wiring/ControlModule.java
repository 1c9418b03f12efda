package org.clementinesail.server.wiring;

import dagger.Module;
import dagger.Provides;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import javax.inject.Singleton;
import org.clementinesail.server.control.ControlClient;
import org.clementinesail.server.control.PeerRequests;
import org.clementinesail.server.control.RulesSubmitter;
import org.clementinesail.server.control.RulesSynchronizer;
import org.clementinesail.server.control.StatusCollector;
import org.clementinesail.server.settings.Settings;
import org.clementinesail.server.targets.TargetRegistry;

/** Provides the control components: connections to peers, requests to replicas, rules, status. */
@Module
final class ControlModule {
  private static final int TIMER_THREADS = 2;

  private ControlModule() {}

  @Provides
  @Singleton
  static ScheduledExecutorService timer() {
    return Executors.newScheduledThreadPool(TIMER_THREADS);
  }

  @Provides
  @Singleton
  static FrameRouter frameRouter(Settings settings) {
    return new FrameRouter(settings);
  }

  @Provides
  @Singleton
  static PeerRequests requests(Settings settings, FrameRouter frameRouter) {
    return new PeerRequests(settings.vm(), frameRouter::send, frameRouter::handleRequest);
  }

  @Provides
  @Singleton
  static ControlClient control(Settings settings, PeerRequests requests) {
    return new ControlClient(requests, settings.replicaVms());
  }

  @Provides
  @Singleton
  static RulesSynchronizer rules(
      Settings settings, PeerRequests requests, ControlClient control, FrameRouter frameRouter) {
    return new RulesSynchronizer(
        settings.deadlines().rulesConfirm(),
        requests,
        control,
        settings.replicaVms(),
        frameRouter::reachability,
        frameRouter::onRulesChanged);
  }

  @Provides
  @Singleton
  static RulesSubmitter submitter(ControlClient control, RulesSynchronizer rules) {
    return new RulesSubmitter(control, rules);
  }

  @Provides
  @Singleton
  static StatusCollector status(
      Settings settings, PeerRequests requests, TargetRegistry targets, FrameRouter frameRouter) {
    return new StatusCollector(settings.vm(), requests, frameRouter::peers, targets::records);
  }
}
