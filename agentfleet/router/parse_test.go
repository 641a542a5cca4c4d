package router

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// newRequestCtx returns a request with one header, or none if header is empty.
func newRequestCtx(method, path, header, value string) *fasthttp.RequestCtx {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	if header != "" {
		ctx.Request.Header.Set(header, value)
	}
	return ctx
}

// TestParseRepeatable checks which requests may run twice.
func TestParseRepeatable(t *testing.T) {
	for _, test := range []struct {
		method, path, mark string
		want, valid        bool
	}{
		{"POST", PathCompletions, "", true, true},
		{"POST", PathCompletions, "false", false, true},
		{"GET", PathServices + "echo/x", "", true, true},
		{"HEAD", PathServices + "echo/x", "", true, true},
		{"POST", PathServices + "echo/x", "", false, true},
		{"POST", PathServices + "echo/x", "true", true, true},
		{"POST", PathServices + "echo/x", "yes", false, false},
	} {
		t.Run(test.method+test.path+test.mark, func(t *testing.T) {
			got, err := parseRepeatable(newRequestCtx(test.method, test.path, HeaderRepeatable, test.mark))
			assert.Equal(t, err == nil, test.valid)
			assert.Equal(t, got, test.want)
		})
	}
}

// TestParseDeadline checks which deadlines are accepted.
func TestParseDeadline(t *testing.T) {
	for _, test := range []struct {
		text  string
		want  time.Duration
		valid bool
	}{
		{"", time.Minute, true},
		{"2s", 2 * time.Second, true},
		{"1h", time.Hour, true},
		{"61m", 0, false},
		{"0s", 0, false},
		{"-1s", 0, false},
		{"2", 0, false},
	} {
		t.Run(test.text, func(t *testing.T) {
			got, err := parseDeadline(newRequestCtx("POST", PathCompletions, HeaderDeadline, test.text), time.Minute)
			assert.Equal(t, err == nil, test.valid)
			assert.Equal(t, got, test.want)
		})
	}
}

// TestParsePriority checks that a caller may lower its priority but not raise it.
func TestParsePriority(t *testing.T) {
	for _, test := range []struct {
		text    string
		highest ryeford.Priority
		want    ryeford.Priority
		valid   bool
	}{
		{"", 5, 5, true},
		{"3", 5, 3, true},
		{"5", 5, 5, true},
		{"9", 5, 5, true},
		{"10", 5, 0, false},
		{"-1", 5, 0, false},
		{"high", 5, 0, false},
	} {
		t.Run(test.text, func(t *testing.T) {
			got, err := parsePriority(newRequestCtx("POST", PathCompletions, HeaderPriority, test.text), test.highest)
			assert.Equal(t, err == nil, test.valid)
			assert.Equal(t, got, test.want)
		})
	}
}

// TestCheckID checks which identifiers callers may choose.
func TestCheckID(t *testing.T) {
	for _, test := range []struct {
		name, id string
		valid    bool
	}{
		{"none", "", true},
		{"printable", "chat-1:~!", true},
		{"with a slash", "a/b", false},
		{"with a space", "a b", false},
		{"not ASCII", "é", false},
		{"maximum length", strings.Repeat("x", maxIDLength), true},
		{"too long", strings.Repeat("x", maxIDLength+1), false},
	} {
		assert.Equal(t, checkID(HeaderChat, test.id) == nil, test.valid, test.name)
	}
}
