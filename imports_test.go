package ryeford_test

import (
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// modulePath is the path of this module.
const modulePath = "github.com/ryeford/ryeford"

// A layer is a height in the tree: a package imports packages of its own layer or
// of lower ones.
type layer int

const (
	values   layer = iota // types and interfaces; no behavior
	rules                 // decisions: values in, values out, no I/O
	plumbing              // clients, codecs, stores, settings, logs
	roles                 // what runs: the gateway, the router, the agent
	tools                 // stand-ins, clients, traces and their replay
	commands              // the command line, which wires the rest
)

// A side says which fleet a package belongs to.
type side string

const (
	both     side = "both"     // used by both fleets, so it may use neither
	platform side = "platform" // the gateway on the platform
	agents   side = "agents"   // the fleet with agents
	either   side = "either"   // may use both fleets
)

// A position is where a folder stands in the tree.
type position struct {
	layer layer
	side  side
}

// tree places each folder of the module. A folder without a row of its own belongs
// to the row of the nearest folder above it, unless that is the module's root: a
// package in a new place fails until it is entered here.
var tree = map[string]position{
	".":     {values, both},
	"retry": {rules, both},
	"route": {rules, both},

	"settings": {plumbing, both},
	"internal": {plumbing, both},
	"platform": {plumbing, platform},

	"gateway/admit":       {rules, platform},
	"gateway/catalog":     {rules, platform},
	"gateway/prefixcache": {rules, platform},
	"gateway/readiness":   {rules, platform},
	"gateway/shutdown":    {rules, platform},
	"gateway/choice":      {rules, platform},
	"gateway/freshness":   {rules, platform},
	"gateway/giveup":      {rules, platform},
	"gateway/loads":       {rules, platform},
	"gateway/occupancy":   {rules, platform},
	"gateway/outlier":     {rules, platform},
	"gateway/peers":       {rules, platform},
	"gateway/quarantine":  {rules, platform},
	"gateway/backoff":     {rules, platform},
	"gateway/roster":      {rules, platform},
	"gateway/endpoint":    {plumbing, platform},
	"gateway/watch":       {plumbing, platform},
	"gateway":             {roles, platform},

	"agentfleet/admission":    {rules, agents},
	"agentfleet/load":         {rules, agents},
	"agentfleet/placement":    {rules, agents},
	"agentfleet/answer":       {plumbing, agents},
	"agentfleet/claim":        {plumbing, agents},
	"agentfleet/decision":     {plumbing, agents},
	"agentfleet/engine":       {plumbing, agents},
	"agentfleet/gossip":       {plumbing, agents},
	"agentfleet/lease":        {plumbing, agents},
	"agentfleet/plan":         {plumbing, agents},
	"agentfleet/row":          {plumbing, agents},
	"agentfleet/tableservice": {plumbing, agents},
	"agentfleet/template":     {plumbing, agents},
	"agentfleet/transport":    {plumbing, agents},
	"agentfleet/wire":         {plumbing, agents},
	"agentfleet/router":       {roles, agents},
	"agentfleet/agent":        {roles, agents},

	"standin":       {tools, either},
	"caller":        {tools, agents},
	"operator":      {tools, agents},
	"replay":        {tools, either},
	"trace":         {rules, both},
	"docs":          {values, both},
	"internal/soak": {commands, either},
	"internal/cmd":  {commands, either},
	"cmd":           {commands, either},
}

// doingIO are the imports that no rule may have. net/http is left out: its names of
// methods and statuses are values.
var doingIO = []string{"net", "os", "os/exec", "log", "github.com/go-kit/log", "github.com/valyala/fasthttp", "github.com/quic-go/quic-go"}

// A goPackage is what `go list` says of a package.
type goPackage struct {
	ImportPath string
	Imports    []string
}

// TestImports checks that every package imports only downwards, that neither fleet
// uses the other, and that rules do no I/O.
func TestImports(t *testing.T) {
	for _, p := range listPackages(t) {
		from := folderOf(p.ImportPath)
		for _, path := range p.Imports {
			if !strings.HasPrefix(path, modulePath) {
				assert.Check(t, place(t, from).layer > rules || !slices.Contains(doingIO, path), "%s is a rule and imports %s", from, path)
				continue
			}
			checkImport(t, from, folderOf(path))
		}
	}
}

// checkImport checks one import within the module.
func checkImport(t *testing.T, from, to string) {
	t.Helper()
	upper, lower := place(t, from), place(t, to)
	assert.Check(t, upper.layer >= lower.layer, "%s imports %s, which lies above it", from, to)
	known := lower.side == both || lower.side == upper.side || upper.side == either
	assert.Check(t, known, "%s (%s) imports %s (%s)", from, upper.side, to, lower.side)
}

// TestPlatformWords checks that only the adapter, the stand-ins and tests use the
// platform's spelling of its headers, tables and rows.
func TestPlatformWords(t *testing.T) {
	const words = modulePath + "/platform/wire"
	for _, p := range listPackages(t) {
		from := folderOf(p.ImportPath)
		mayImport := from == "platform" || strings.HasPrefix(from, "standin/")
		assert.Check(t, mayImport || !slices.Contains(p.Imports, words), "%s imports platform/wire", from)
	}
}

// place returns the row of a folder.
func place(t *testing.T, folder string) position {
	t.Helper()
	for name, found := folder, true; found; {
		if row, ok := tree[name]; ok {
			return row
		}
		slash := strings.LastIndexByte(name, '/')
		found = slash >= 0
		name = name[:max(0, slash)]
	}
	t.Fatalf("%s has no place in the tree of imports_test.go", folder)
	return position{}
}

// folderOf returns the folder of a package of the module.
func folderOf(path string) string {
	folder := strings.TrimPrefix(strings.TrimPrefix(path, modulePath), "/")
	if folder == "" {
		return "."
	}
	return folder
}

// listPackages returns the packages of the module.
func listPackages(t *testing.T) []goPackage {
	t.Helper()
	output, err := exec.Command("go", "list", "-json=ImportPath,Imports", "./...").Output()
	assert.NilError(t, err)
	var packages []goPackage
	decoder := json.NewDecoder(strings.NewReader(string(output)))
	for {
		var p goPackage
		err := decoder.Decode(&p)
		if errors.Is(err, io.EOF) {
			return packages
		}
		assert.NilError(t, err)
		packages = append(packages, p)
	}
}
