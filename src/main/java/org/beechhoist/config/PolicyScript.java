package org.beechhoist.config;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;
import org.beechhoist.plan.Evaluation;
import org.luaj.vm2.Globals;
import org.luaj.vm2.LoadState;
import org.luaj.vm2.LuaError;
import org.luaj.vm2.LuaTable;
import org.luaj.vm2.LuaValue;
import org.luaj.vm2.Varargs;
import org.luaj.vm2.compiler.LuaC;
import org.luaj.vm2.lib.BaseLib;
import org.luaj.vm2.lib.DebugLib;
import org.luaj.vm2.lib.MathLib;
import org.luaj.vm2.lib.PackageLib;
import org.luaj.vm2.lib.StringLib;
import org.luaj.vm2.lib.TableLib;

/**
 * Runs an operator's script once, at the start: it returns a table of settings. It has Lua's arithmetic, tables and
 * strings and nothing else (no files, processes, network or other code), and a bounded number of steps.
 */
public final class PolicyScript {
    private static final int MAX_STEPS = 200_000;
    private static final int MAX_BYTES = 64 * 1024;
    private static final String[] FORBIDDEN = {
        "dofile",
        "loadfile",
        "load",
        "loadstring",
        "require",
        "package",
        "collectgarbage",
        "print",
        "debug",
        "io",
        "os",
        "luajava",
        "coroutine",
        "pcall",
        "xpcall"
    };

    /** A script that can't be used; the message names its line or setting. */
    public static final class Bad extends Exception {
        Bad(String message) {
            super(message, null, false, false);
        }
    }

    /** Thrown out of the script; not a LuaError, so that no script can catch it. */
    private static final class TooLong extends Error {
        private static final long serialVersionUID = 1;
    }

    /** Counts the script's steps. */
    private static final class StepLimit extends DebugLib {
        private int steps;

        @Override
        public void onInstruction(int pc, Varargs varargs, int top) {
            if (++steps > MAX_STEPS) {
                throw new TooLong();
            }
            super.onInstruction(pc, varargs, top);
        }
    }

    private PolicyScript() {}

    /** Runs the operators' script and returns the policy that it describes; without a script, the default. */
    public static Policy load(Path file) throws Bad {
        if (file == null) {
            return Policy.DEFAULT;
        }
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new Bad("script " + file + ": at most " + MAX_BYTES + " bytes are allowed");
            }
            return run(Files.readString(file), file.getFileName().toString());
        } catch (IOException e) {
            throw new Bad("script " + file + ": a readable Lua file is expected");
        }
    }

    static Policy run(String text, String name) throws Bad {
        Globals globals = new Globals();
        globals.load(new BaseLib());
        globals.load(new PackageLib()); // the other libraries register there; the script can't reach it
        globals.load(new TableLib());
        globals.load(new StringLib());
        globals.load(new MathLib());
        globals.load(new StepLimit());
        for (String f : FORBIDDEN) {
            globals.set(f, LuaValue.NIL);
        }
        globals.get("string").set("rep", LuaValue.NIL); // could make texts larger than the heap in one step
        LoadState.install(globals);
        LuaC.install(globals);
        try {
            // Reading may run the script's code too, as a table may compute its fields.
            LuaValue result = globals.load(new StringReader(text), "@" + name).call();
            if (!result.istable()) {
                throw new Bad("script " + name + ": it must return a table of settings");
            }
            return read((LuaTable) result, name, text);
        } catch (LuaError e) {
            throw new Bad("script " + name + ": " + e.getMessage());
        } catch (TooLong e) {
            throw new Bad("script " + name + ": more than " + MAX_STEPS + " steps");
        } catch (StackOverflowError | OutOfMemoryError e) {
            throw new Bad("script " + name + ": it nests too deeply or takes too much memory");
        }
    }

    private static Policy read(LuaTable luaTable, String name, String text) throws Bad {
        Set<String> known = new HashSet<>();
        Policy policy = Policy.DEFAULT;
        Reader reader = new Reader(luaTable, name, text, known);
        Policy parsed = new Policy(
                (int) reader.number("search_iterations", policy.searchIterations(), 0, 100_000),
                reader.millis("search_s", policy.searchMs(), 0, 10),
                reader.millis("search_every_s", policy.searchEveryMs(), 1, 3600),
                new Evaluation.Weights(
                        reader.number("weight_wait", policy.weights().waiting(), 0, 1e6),
                        reader.number("weight_slowdown", policy.weights().slowdown(), 0, 1e6),
                        reader.number("weight_fairness", policy.weights().fairness(), 0, 1e6)),
                reader.number("patience", policy.patience(), 0, 1),
                reader.number("preempt_cpu_s", policy.preemptCpuS(), 0, 1e6),
                reader.millis("idle_spot_s", policy.idleSpotMs(), 0, 86_400),
                reader.millis("idle_ordinary_s", policy.idleOrdinaryMs(), 0, 86_400),
                reader.millis("silent_s", policy.silentMs(), 5, 3600),
                new Policy.Elastic(
                        reader.flag("elastic", policy.elastic().on()),
                        reader.millis("elastic_settle_s", policy.elastic().settleMs(), 0, 3600),
                        reader.number("elastic_worth", policy.elastic().worth(), 0, 1e6)),
                new Policy.Cron(
                        reader.flag("cron", policy.cron().on()),
                        reader.millis("once_keep_s", policy.cron().onceKeepMs(), 60, 3.2e7),
                        reader.millisByName("once_keep", 60, 3.2e7)),
                reader.flag("fleet_notes", policy.fleetNotes()),
                reader.flag("served_floor", policy.servedFloor()),
                reader.flag("triage", policy.triage()),
                reader.flag("key_sets", policy.keySets()),
                reader.flag("releases", policy.releases()),
                reader.flag("packing", policy.packing()),
                reader.flag("moves", policy.moves()),
                reader.flag("drains", policy.drains()));
        for (LuaValue value : luaTable.keys()) {
            if (!known.contains(value.tojstring())) {
                throw new Bad(reader.at(value.tojstring()) + "unknown setting " + value.tojstring() + "; known are "
                        + String.join(", ", known.stream().sorted().toList()));
            }
        }
        return parsed;
    }

    private record Reader(LuaTable table, String name, String text, Set<String> known) {
        /** The script's name and, where it can be told, the line that sets the key. */
        String at(String key) {
            Pattern sets = Pattern.compile("\\b" + Pattern.quote(key) + "\\b[\"'\\]\\s]*=[^=]");
            List<String> lines = text.lines().toList();
            for (int i = lines.size() - 1; i >= 0; i--) {
                if (sets.matcher(lines.get(i).replaceFirst("--.*", "") + " ").find()) {
                    return "script " + name + ":" + (i + 1) + ": ";
                }
            }
            return "script " + name + ": ";
        }

        double number(String key, double fallback, double least, double most) throws Bad {
            known.add(key);
            LuaValue value = table.get(key);
            if (value.isnil()) {
                return fallback;
            }
            if (value.type() != LuaValue.TNUMBER || !(value.todouble() >= least && value.todouble() <= most)) {
                throw new Bad(at(key) + key + " = " + value.tojstring() + ": a number from " + least + " to " + most
                        + " is expected");
            }
            return value.todouble();
        }

        /** A table of names and seconds. */
        Map<String, Long> millisByName(String key, double least, double most) throws Bad {
            known.add(key);
            LuaValue value = table.get(key);
            Map<String, Long> out = new TreeMap<>();
            if (!value.isnil() && !value.istable()) {
                throw new Bad(at(key) + key + " = " + value.tojstring() + ": a table of names and seconds is expected");
            }
            if (!value.isnil()) {
                Reader inner = new Reader((LuaTable) value, name, text, new HashSet<>());
                for (LuaValue k : ((LuaTable) value).keys()) {
                    out.put(k.tojstring(), inner.millis(k.tojstring(), 0, least, most));
                }
            }
            return out;
        }

        boolean flag(String key, boolean fallback) throws Bad {
            known.add(key);
            LuaValue value = table.get(key);
            if (!value.isnil() && !value.isboolean()) {
                throw new Bad(at(key) + key + " = " + value.tojstring() + ": true or false is expected");
            }
            return value.isnil() ? fallback : value.toboolean();
        }

        long millis(String key, long fallbackMs, double least, double most) throws Bad {
            return Math.round(1000 * number(key, fallbackMs / 1000.0, least, most));
        }
    }
}
