package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ryeford/ryeford/standin"
)

// eventuallyTimeout is how long a scenario waits for a condition. It is long, since it must
// only end a run whose condition is never met.
const eventuallyTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"ryeford":         func() { os.Exit(Main(os.Args, os.Stdout, os.Stderr)) },
		largeStoreCommand: runLargeStore,
	})
}

func TestScripts(t *testing.T) {
	if testing.Short() {
		t.Skip("the scenarios take a minute")
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":      cmdFleet,
			"eventually": cmdEventually,
			"signal":     cmdSignal,
			"starts":     cmdStarts,
			"platform":   cmdPlatform,
			"request":    cmdRequest,
			"await":      cmdAwait,
			"load":       cmdLoad,
			"once":       cmdOnce,
		},
		Setup: func(env *testscript.Env) error {
			traces, err := filepath.Abs("testdata/traces")
			env.Setenv("TRACES", traces)
			return err
		},
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
	})
}

// cmdEventually repeats a command until it succeeds and, if -out TEXT is given, its output
// contains TEXT.
func cmdEventually(ts *testscript.TestScript, neg bool, args []string) {
	text := ""
	if len(args) > 2 && args[0] == "-out" {
		text, args = args[1], args[2:]
	}
	if neg || len(args) == 0 {
		ts.Fatalf("usage: eventually [-out TEXT] COMMAND...")
	}
	var out []byte
	var err error
	if !eventually(func() bool {
		out, err = scriptCommand(ts, args).CombinedOutput()
		return err == nil && strings.Contains(string(out), text)
	}) {
		ts.Fatalf("%s: condition not met in time: %v\n%s", strings.Join(args, " "), err, out)
	}
}

// scriptCommand returns a command that runs in a script's directory, with the environment
// variables that the program reads.
func scriptCommand(ts *testscript.TestScript, args []string) *exec.Cmd {
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Env = []string{"PATH=" + ts.Getenv("PATH"), "HOME=" + ts.Getenv("HOME")}
	for _, name := range []string{"RYEFORD_OPERATORS", "RYEFORD_OPERATOR_KEY", "RYEFORD_KEY", "RYEFORD_CALLERS"} {
		if value := ts.Getenv(name); value != "" {
			cmd.Env = append(cmd.Env, name+"="+value)
		}
	}
	return cmd
}

// eventually polls a condition, and reports whether it was met within eventuallyTimeout.
func eventually(condition func() bool) bool {
	deadline := time.Now().Add(eventuallyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// cmdSignal sends STOP, CONT, TERM, KILL or HUP to the background process that was
// started with a settings file. After KILL it waits until the process has ended and its
// ports are free.
func cmdSignal(ts *testscript.TestScript, neg bool, args []string) {
	signals := map[string]syscall.Signal{
		"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "HUP": syscall.SIGHUP,
	}
	if neg || len(args) != 2 {
		ts.Fatalf("usage: signal STOP|CONT|TERM|KILL|HUP SETTINGS")
	}
	for _, cmd := range ts.BackgroundCmds() {
		if !strings.HasSuffix(strings.Join(cmd.Args, " "), " "+args[1]) {
			continue
		}
		if err := cmd.Process.Signal(signals[args[0]]); !errors.Is(err, os.ErrProcessDone) {
			ts.Check(err)
		}
		ended := func() bool { return errors.Is(cmd.Process.Signal(syscall.Signal(0)), os.ErrProcessDone) }
		if args[0] == "KILL" && !eventually(ended) {
			ts.Fatalf("%s: process still runs after SIGKILL", args[1])
		}
	}
}

// cmdStarts checks that two outputs of the runs of an engine have the same number of runs,
// or with ! that they don't.
func cmdStarts(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: [!] starts BEFORE AFTER")
	}
	counts := make([]int, len(args))
	for i, name := range args {
		var c standin.EngineCounts
		ts.Check(json.Unmarshal([]byte(ts.ReadFile(name)), &c))
		counts[i] = len(c.Runs)
	}
	if same := counts[0] == counts[1]; same == neg {
		ts.Fatalf("%d runs before, %d runs after", counts[0], counts[1])
	}
}

// cmdFleet writes the settings files of a fleet with the given numbers of routers, agents
// and engines per agent. It sets an environment variable for each address, such as
// $router_1_callers.
func cmdFleet(ts *testscript.TestScript, neg bool, args []string) {
	var routers, agents, engines int
	if _, err := fmt.Sscan(strings.Join(args, " "), &routers, &agents, &engines); err != nil || neg {
		ts.Fatalf("usage: fleet ROUTERS AGENTS ENGINES")
	}
	f := newTestFleet(ts.MkAbs("."))
	ts.Check(f.write(routers, agents, engines))
	for name, address := range f.addresses {
		ts.Setenv(name, address)
	}
	ts.Setenv("RYEFORD_OPERATORS", strings.Join(f.operators, ","))
	ts.Setenv("RYEFORD_OPERATOR_KEY", testOperatorKey)
	ts.Check(ts.Exec("ryeford", append([]string{"cert"}, f.vms...)...))
}
