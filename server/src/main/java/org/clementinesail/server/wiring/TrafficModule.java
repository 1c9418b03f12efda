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
import org.clementinesail.server.http.Intake;
import org.clementinesail.server.http.RequestMetrics;
import org.clementinesail.server.requests.CallClaims;
import org.clementinesail.server.requests.CrashWatch;
import org.clementinesail.server.requests.ModelRunner;
import org.clementinesail.server.requests.ServiceRunner;
import org.clementinesail.server.settings.Settings;
import org.clementinesail.server.targets.EngineClient;
import org.clementinesail.server.targets.ServiceClient;
import org.clementinesail.server.targets.TargetGossip;
import org.clementinesail.server.targets.TargetRegistry;

/** Provides the traffic side: targets, requests and the HTTP interfaces. */
@Module
final class TrafficModule {
  /** Draws from the generator of whichever thread asks. */
  private static final RandomGenerator RANDOM = () -> ThreadLocalRandom.current().nextLong();

  private TrafficModule() {}

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "releases");
    thread.setDaemon(true);
    return thread;
  }

  @Provides
  @Singleton
  static TargetRegistry targets(Switchboard switchboard, RulesSynchronizer rules) {
    return new TargetRegistry(() -> switchboard.peers().size() + 1, rules::rules, RANDOM);
  }

  @Provides
  @Singleton
  static TargetGossip gossip(TargetRegistry targets, Switchboard switchboard) {
    return new TargetGossip(targets, switchboard::peers, switchboard::send, RANDOM);
  }

  @Provides
  @Singleton
  static CrashWatch crashes(Settings settings, Switchboard switchboard) {
    return new CrashWatch(settings.vm(), switchboard::broadcast);
  }

  @Provides
  @Singleton
  static ModelRunner models(Settings settings, TargetRegistry targets, CrashWatch crashes) {
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
            Executors.newSingleThreadExecutor(TrafficModule::daemon));
    return new ServiceRunner(
        targets, new ServiceClient(settings.deadlines().connect()), claims, RANDOM);
  }

  @Provides
  @Singleton
  static Intake intake(Settings settings, RulesSynchronizer rules) {
    return new Intake(settings.limits().requests(), rules::rules, rules::mayAdmit);
  }

  @Provides
  @Singleton
  static RequestMetrics metrics(TargetRegistry targets) {
    return new RequestMetrics(new MetricRegistry(), targets::tokenBounds);
  }

  @Provides
  @Singleton
  static HttpServers http(
      Settings settings,
      Intake intake,
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
        new HttpServers.Parts(
            intake, rules::rules, models, services, metrics, targets, gossip, submitter, status));
  }
}
