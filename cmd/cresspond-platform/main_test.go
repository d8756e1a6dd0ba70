package main

import (
	"bytes"
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// runsMain is the variable of the environment that makes the test's program the daemon's.
const runsMain = "CRESSPOND_TEST_RUNS_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runsMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// freePort gives a port that nobody listens on.
func freePort(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	_, port, _ := net.SplitHostPort(listener.Addr().String())
	return port
}

// TestHangupWhileTheSettingsAreReadEndsNoProcess guards against a machine that dies because its settings change while it
// starts: a hangup that nobody handles ends a process. The settings file is a pipe, so the process is known to be reading.
func TestHangupWhileTheSettingsAreReadEndsNoProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.toml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	command := exec.CommandContext(ctx, program, "--config", path, "--check")
	command.Env = append(os.Environ(), runsMain+"=1")
	command.Stdout, command.Stderr = &output, &output
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	// This returns once the process has opened the other end.
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	// --check binds the addresses, and any machine that runs the test has this one.
	settings := settingsHead + "seeds = [\"10.0.0.2:9\"]\n[bind-addrs]\nfront = \"127.0.0.1:" + freePort(t) + "\"\nreadiness = \"127.0.0.1:" + freePort(t) + "\"\n"
	// A process that has ended breaks the pipe, which its exit tells better.
	_, _ = pipe.WriteString(settings)
	_ = pipe.Close()
	if err := command.Wait(); err != nil || !strings.Contains(output.String(), "the settings are valid") {
		t.Errorf("%v: %s", err, output.String())
	}
}
