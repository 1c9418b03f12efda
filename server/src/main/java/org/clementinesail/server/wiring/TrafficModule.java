package org.clementinesail.server.wiring;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import dagger.Module;
import dagger.Provides;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;
import javax.inject.Singleton;
import org.clementinesail.server.control.ControlClient;
import org.clementinesail.server.control.RulesSubmitter;
import org.clementinesail.server.control.RulesSynchronizer;
import org.clementinesail.server.control.StatusCollector;
import org.clementinesail.server.http.HttpServers;
import org.clementinesail.server.http.RequestAdmission;
import org.clementinesail.server.http.RequestMetrics;
import org.clementinesail.server.requests.CallClaims;
import org.clementinesail.server.requests.CrashTracker;
import org.clementinesail.server.requests.ModelRunner;
import org.clementinesail.server.requests.ServiceRunner;
import org.clementinesail.server.settings.Settings;
import org.clementinesail.server.targets.EngineClient;
import org.clementinesail.server.targets.ServiceClient;
import org.clementinesail.server.targets.TargetGossip;
import org.clementinesail.server.targets.TargetRegistry;

/** Provides the components for traffic: targets, requests and the HTTP servers. */
@Module
final class TrafficModule {
  /** Thread-safe: each call uses the generator of the calling thread. */
  private static final RandomGenerator RANDOM = () -> ThreadLocalRandom.current().nextLong();

  private TrafficModule() {}

  private static Thread newDaemonThread(Runnable task) {
    Thread thread = new Thread(task, "claim-release");
    thread.setDaemon(true);
    return thread;
  }

  @Provides
  @Singleton
  static TargetRegistry targets(FrameRouter frameRouter, RulesSynchronizer rules) {
    return new TargetRegistry(() -> frameRouter.peers().size() + 1, rules::rules, RANDOM);
  }

  @Provides
  @Singleton
  static TargetGossip gossip(TargetRegistry targets, FrameRouter frameRouter) {
    return new TargetGossip(targets, frameRouter::peers, frameRouter::send, RANDOM);
  }

  @Provides
  @Singleton
  static CrashTracker crashes(Settings settings, FrameRouter frameRouter) {
    return new CrashTracker(settings.vm(), frameRouter::broadcast);
  }

  @Provides
  @Singleton
  static ModelRunner models(Settings settings, TargetRegistry targets, CrashTracker crashes) {
    EngineClient engines =
        new EngineClient(
            new ObjectMapper(), settings.deadlines().connect(), settings.deadlines().step());
    return new ModelRunner(targets, engines, crashes);
  }

  @Provides
  @Singleton
  static ServiceRunner services(Settings settings, TargetRegistry targets, ControlClient control) {
    CallClaims claims =
        new CallClaims(
            control,
            settings.vm(),
            settings.deadlines().claim().toNanos(),
            settings.limits().answerKeptBytes(),
            Executors.newSingleThreadExecutor(TrafficModule::newDaemonThread));
    return new ServiceRunner(
        targets, new ServiceClient(settings.deadlines().connect()), claims, RANDOM);
  }

  @Provides
  @Singleton
  static RequestAdmission admission(Settings settings, RulesSynchronizer rules) {
    return new RequestAdmission(settings.limits().requests(), rules::rules, rules::mayAdmit);
  }

  @Provides
  @Singleton
  static RequestMetrics metrics(TargetRegistry targets) {
    return new RequestMetrics(new MetricRegistry(), targets::maxTokensPerSecond);
  }

  @Provides
  @Singleton
  static HttpServers http(
      Settings settings,
      RequestAdmission admission,
      RulesSynchronizer rules,
      ModelRunner models,
      ServiceRunner services,
      RequestMetrics metrics,
      TargetRegistry targets,
      TargetGossip gossip,
      RulesSubmitter submitter,
      StatusCollector status) {
    return new HttpServers(
        settings,
        new HttpServers.Dependencies(
            admission,
            rules::rules,
            models,
            services,
            metrics,
            targets,
            gossip,
            submitter,
            status));
  }
}
