package org.poplarshift.verification.scenario

import org.junit.platform.suite.api.ConfigurationParameter
import org.junit.platform.suite.api.IncludeEngines
import org.junit.platform.suite.api.SelectClasspathResource
import org.junit.platform.suite.api.Suite

/** Runs the scenarios in `src/test/resources/scenarios` against node and stand-in processes on loopback. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("scenarios")
@ConfigurationParameter(key = "cucumber.glue", value = "org.poplarshift.verification.scenario")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
class ScenariosTest
