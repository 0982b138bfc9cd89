package main

import (
	"bufio"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a dev command that prints URLs that don't work, doesn't count
// requests in its metrics, or doesn't exit cleanly on SIGINT.
func TestDevServesUntilStopped(t *testing.T) {
	is := is.New(t)
	command := exec.Command("oleandervalve", "dev")
	out, err := command.StdoutPipe()
	is.NoErr(err)
	is.NoErr(command.Start())
	defer func() { _ = command.Process.Kill() }()
	urls := map[string]string{}
	lines := bufio.NewScanner(out)
	for lines.Scan() && !strings.HasPrefix(lines.Text(), "ready") {
		if f := strings.Fields(lines.Text()); len(f) == 2 {
			urls[f[0]] = f[1]
		}
	}
	for _, name := range []string{"entry-0", "entry-1", "table", "objects", "platform", "metrics"} {
		is.True(strings.HasPrefix(urls[name], "http://127.0.0.1:")) // name
	}
	text := func(url string) string {
		p, err := http.Get(url)
		is.NoErr(err)
		defer p.Body.Close()
		b, err := io.ReadAll(p.Body)
		is.NoErr(err)
		return string(b)
	}
	is.True(strings.HasPrefix(text(urls["entry-0"]+"/call/formaro/x"), "done:"))
	is.True(strings.Contains(text(urls["metrics"]+"/readyz"), `"ok":true`))
	for !strings.Contains(text(urls["metrics"]+"/metrics"), `oleandervalve_requests{entry="entry-0",outcome="answered"} 1`) {
		time.Sleep(50 * time.Millisecond) // metrics are reported with a delay
	}
	is.NoErr(command.Process.Signal(syscall.SIGINT))
	is.NoErr(command.Wait()) // exit code 0
}
