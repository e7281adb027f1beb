package main

import (
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"hawthornturn-entry": main})
}

// Guards against commands whose output or exit code differs from what operators rely on.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"hangup": hangup},
	})
}

// hangup sends SIGHUP to the processes in the background.
func hangup(ts *testscript.TestScript, _ bool, _ []string) {
	for _, command := range ts.BackgroundCmds() {
		ts.Check(command.Process.Signal(syscall.SIGHUP))
	}
}
