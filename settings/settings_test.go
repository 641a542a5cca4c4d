package settings

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// examples is the path of the annotated examples.
const examples = "../docs/examples"

// TestExamples checks that the annotated examples are accepted.
func TestExamples(t *testing.T) {
	_, err := Load(filepath.Join(examples, "router.yaml"), DefaultRouter())
	assert.NilError(t, err)
	_, err = Load(filepath.Join(examples, "gateway.yaml"), DefaultGateway())
	assert.NilError(t, err)
	_, err = Load(filepath.Join(examples, "agent.yaml"), DefaultAgent())
	assert.NilError(t, err)
	_, err = Load(filepath.Join(examples, "standin.yaml"), &Standin{})
	assert.NilError(t, err)
	_, err = Load(filepath.Join(examples, "template.yaml"), DefaultTemplate())
	assert.NilError(t, err)
}

// TestErrors checks that errors name the line, the key and what is allowed, and never
// contain the value, which may be secret.
func TestErrors(t *testing.T) {
	for _, test := range []struct{ content, want string }{
		{"vm: r\nbogus: 3\n", `line 2: bogus: unknown field "bogus"`},
		{"vm: r\noperators: nowhere\n", "line 2: operators: want an IP address and port such as 10.0.0.1:7000"},
		{"vm: r\nlimits:\n  first_token: 5\n", "line 3: first_token: want a duration with its unit, such as 250ms or 2s"},
		{"vm: r\n", "region: missing; it must be given"},
		{validRouter + "limits: {max_body: 3}\n", "line 9: limits.max_body: must be at least 1024"},
		{validRouter + "transport: {keep_alive: 20s}\n", "line 9: transport.keep_alive: must be less than IdleTimeout"},
		{"operator_key: [s3cret\n", "line 1: operator_key: sequence end token ']' not found"},
	} {
		err := Parse([]byte(test.content), DefaultRouter())
		assert.Error(t, err, test.want)
	}
}

// TestForbiddenCharacters checks the errors for strings that contain forbidden characters.
func TestForbiddenCharacters(t *testing.T) {
	agent := "vm: r\nregion: n\nfailure_domain: d\nlisten: 127.0.0.1:1\nmetrics: 127.0.0.1:2\nplatform: 127.0.0.1:3\n" +
		"tls: {authority: a, certificate: b, key: c}\nservices: [{id: i, name: a/b, address: 127.0.0.1:4}]\n"
	assert.Error(t, Parse([]byte(agent), DefaultAgent()), "line 8: services[0].name: must not contain any of /")
	const template = "account: a\nname: n\nmodel: m\nshare: 1\n"
	err := Parse([]byte("account: a b\nname: n\nmodel: m\nshare: 1\n"), DefaultTemplate())
	assert.Error(t, err, "line 1: account: must not contain any of / or spaces")
	hash := "key_hashes: [" + strings.Repeat("x", 64) + "]\n"
	assert.Error(t, Parse([]byte(template+hash), DefaultTemplate()), "line 5: key_hashes[0]: must satisfy hexadecimal")
}

// validRouter is a complete settings file of a router.
const validRouter = `vm: r
region: n
failure_domain: d
callers: 127.0.0.1:1
operators: 127.0.0.1:2
operator_key: s3cret-key
platform: 127.0.0.1:3
tls: {authority: a, certificate: b, key: c}
`

// FuzzParse checks that no input crashes the parser.
func FuzzParse(f *testing.F) {
	f.Add(validRouter)
	f.Add("limits: {first_token: 5}")
	f.Add("a: &a [*a]")
	f.Fuzz(func(_ *testing.T, content string) {
		_ = Parse([]byte(content), DefaultRouter())
		_ = Parse([]byte(content), DefaultAgent())
	})
}

// TestDerived checks that the durations that a gateway derives are within the users'
// bounds, and that explicit settings take precedence.
func TestDerived(t *testing.T) {
	for _, contact := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second} {
		for _, bound := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 9 * time.Second} {
			s := DefaultGateway()
			s.Bounds.Contact, s.Bounds.Drain, s.Bounds.Configuration = contact, bound, bound
			assert.Assert(t, s.EndpointsWait()+s.Routing.StoreTimeout < contact)
			assert.Assert(t, contact < 2*time.Second || s.EndpointsWait()+s.Routing.StoreTimeout+contactMargin <= contact)
			assert.Assert(t, s.EndpointsSettle() <= bound/2)
			assert.Assert(t, s.StoreUnreachableAfter() > s.EndpointsWait()+s.EndpointsSettle())
			assert.Assert(t, s.ConfigurationRefreshAge() <= bound/2)
			assert.Assert(t, s.ConfigurationRefreshAge() <= s.Bounds.Revoke/5)
		}
	}
	s := DefaultGateway()
	s.Routing = GatewayRouting{EndpointsWait: 1, EndpointsSettle: 2, LeaseRefresh: 3}
	assert.Equal(t, s.EndpointsWait(), time.Duration(1))
	assert.Equal(t, s.EndpointsSettle(), time.Duration(2))
	assert.Equal(t, s.StoreUnreachableAfter(), time.Duration(3))
	assert.Equal(t, s.ConfigurationRefreshAge(), time.Duration(3))
}
