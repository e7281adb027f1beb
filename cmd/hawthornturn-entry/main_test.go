package main

import (
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"hawthornturn-entry": main})
}

// Guards against changes of the output or exit code of commands that operators rely on.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"hangup": hangup, "freeport": freePort},
	})
}

// hangup sends SIGHUP to the background processes of the script.
func hangup(ts *testscript.TestScript, _ bool, _ []string) {
	for _, command := range ts.BackgroundCmds() {
		ts.Check(command.Process.Signal(syscall.SIGHUP))
	}
}

// freePort replaces a text in a file by a port that is free on the loopback address, so that
// tests of two checkouts can run at the same time.
func freePort(ts *testscript.TestScript, _ bool, args []string) {
	listener, err := net.ListenPacket("udp4", "127.0.0.1:0")
	ts.Check(err)
	port := listener.LocalAddr().(*net.UDPAddr).Port
	ts.Check(listener.Close())
	text := strings.ReplaceAll(ts.ReadFile(args[1]), args[0], strconv.Itoa(port))
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}
