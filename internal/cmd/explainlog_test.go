package cmd

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestExplainLogs checks that an explanation contains the lines of the request from all
// routers, ordered by time, and the state changes of these routers, but no other lines.
func TestExplainLogs(t *testing.T) {
	const a = `  0.1 prefix ts=2026-01-01T00:00:10Z role=gateway vm=a decision=configuration version=3
ts=2026-01-01T00:00:18Z vm=a decision=store_restored before=1.37 after=2.33
ts=2026-01-01T00:00:18.5Z vm=a decision=endpoint_report request=r0 endpoint=e7 leaves=true
ts=2026-01-01T00:00:19Z vm=a msg="dependency lost" dependency=configuration
ts=2026-01-01T00:00:20Z vm=a decision=send request=r1 endpoint=e1
ts=2026-01-01T00:00:20.5Z vm=a decision=send request=r2 endpoint=e1
ts=2026-01-01T00:00:21Z vm=a decision=give_up request=r1 err="a \"quoted\" text"
ts=2026-01-01T00:00:22Z vm=a decision=endpoints added=e9
no log line at all
ts=2026-01-01T00:00:09Z vm=a decision=configuration version=2
`
	const b = `ts=2026-01-01T00:00:19.5Z vm=b decision=send request=r1 endpoint=e0
ts=2026-01-01T00:00:19.6Z vm=c decision=endpoints added=e8
`
	dir := t.TempDir()
	files := []string{filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")}
	assert.NilError(t, os.WriteFile(files[0], []byte(a), 0o600))
	assert.NilError(t, os.WriteFile(files[1], []byte(b), 0o600))
	var out bytes.Buffer
	assert.NilError(t, explainLogs(&out, "r1", files))
	want := []string{"version=3", "store_restored", "endpoint=e7", "dependency lost", "endpoint=e0", "endpoint=e1", "give_up"}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), len(want), out.String())
	for i, text := range want {
		assert.Assert(t, strings.Contains(lines[i], text), "%d: %s", i, lines[i])
	}
	var notFound *ryeford.NotFoundError
	assert.Assert(t, errors.As(explainLogs(&out, "r3", files), &notFound))
}

// TestExplainStream guards against an explanation of a stream that lacks the requests by which callers took it up.
func TestExplainStream(t *testing.T) {
	const log = `ts=2026-01-01T00:00:10Z vm=a decision=send request=r1 endpoint=e1 software=v1
ts=2026-01-01T00:00:11Z vm=b decision=take_up request=r2 resumes=r1 after=3 software=v1 known_by=peer
ts=2026-01-01T00:00:11.1Z vm=b decision=send request=r2 endpoint=e2 software=v1
ts=2026-01-01T00:00:12Z vm=c decision=take_up request=r3 resumes=r1 after=5 software= known_by=none
ts=2026-01-01T00:00:12.1Z vm=c decision=give_up request=r3 reason=version_unknown
ts=2026-01-01T00:00:12.2Z vm=c decision=take_up request=r4 resumes=other after=5 software=v1 known_by=record
`
	file := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(file, []byte(log), 0o600))
	for _, id := range []ryeford.RequestID{"r1", "r2", "r3"} {
		var out bytes.Buffer
		assert.NilError(t, explainLogs(&out, id, []string{file}))
		assert.Equal(t, strings.Count(out.String(), "\n"), 5, "%s: %s", id, out.String())
		assert.Assert(t, !strings.Contains(out.String(), "request=r4"))
	}
}
