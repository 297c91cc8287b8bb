package org.beechhoist.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PolicyScriptTest {
    @Test
    void whatIsNotSetKeepsItsDefault() throws PolicyScript.Bad {
        Policy p = PolicyScript.run("local night = 2\nreturn { idle_spot_s = 30 * night, patience = 0.5 }", "p.lua");
        assertEquals(60_000, p.idleSpotMs());
        assertEquals(0.5, p.patience());
        assertEquals(Policy.DEFAULT.searchIterations(), p.searchIterations());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "return { patience = 2 }|patience",
                "return 3|table",
                "return { speed = 1 }|speed",
                "local x = = 1|p.lua:1",
                "while true do end|steps",
                "return { patience = os.time() }|p.lua",
                "io.open('/etc/passwd')|p.lua",
                "return require('x')|p.lua",
                "return load('return {}')()|p.lua",
                "pcall(function() while true do end end) return {}|p.lua",
                "local function f() return 1 + f() end f()|p.lua",
                // fields that the script computes while its table is read
                "return setmetatable({}, {__index = function() error('no such field') end})|p.lua",
                "return setmetatable({}, {__index = function() while true do end end})|steps"
            })
    void aBadScriptIsRefusedWithItsLineOrSetting(String text, String part) {
        PolicyScript.Bad e = assertThrows(PolicyScript.Bad.class, () -> PolicyScript.run(text, "p.lua"));
        assertTrue(e.getMessage().contains(part), e.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "host_name = \"x\"|host_name = \"\"|host_name",
                // half of a character, which neither a record nor a message can carry
                "host_name = \"x\"|host_name = \"x\\uD842\"|host_name",
                "10.0.0.1:8080|10.0.0.1|public_addr",
                "10.0.0.1:8080|nowhere:80|public_addr",
                "lease_s = 32.0|lease_s = -1|deployment.workers.lease_s",
                "txn_ops = 40|txn_ops = \"many\"|deployment.state.txn_ops",
                "nodes = 3|nodes = 0|deployment.nodes",
                "cpus = 1.0|cpus = -1.0|deployment.teams[0].cpus",
                "cancel_s = 62.0|cancel_s = 34|deployment.workers.cancel_s = 34: at least 35.1 is expected beside lease_s = 32"
            })
    void aBadSettingIsNamed(String good, String bad, String field) throws Settings.Bad {
        String text =
                """
                host_name = "x"
                site = "a"
                public_addr = "10.0.0.1:8080"
                internal_addr = "10.0.0.1:8081"
                unknown = 3
                [outside]
                cloud = "10.0.0.2:1"
                state = "10.0.0.3:1"
                [deployment]
                nodes = 3
                zones = ["a"]
                [[deployment.teams]]
                name = "t"
                cpus = 1.0
                [deployment.workers]
                report_s = 3.0
                lease_s = 32.0
                cancel_s = 62.0
                [deployment.state]
                rps = 150.0
                write_rps = 50.0
                value_kb = 8.0
                txn_ops = 40
                [deployment.cloud]
                rps = 5.0
                list_lag_s = 10.0
                [deployment.quota]
                cpu = 0.4
                """;
        assertEquals("x", Settings.parse(text).node());
        assertTrue(text.contains(good));
        Settings.Bad e = assertThrows(Settings.Bad.class, () -> Settings.parse(text.replace(good, bad)));
        assertTrue(e.getMessage().contains(field), e.getMessage());
    }
}
