package ryeford_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// steadyMethods are the methods of time.Time that go by the steady clock if their times
// were read in this process. All others look at the time of day, or drop the reading of
// the steady clock.
var steadyMethods = []string{"Add", "Sub", "Before", "After", "Compare", "Equal", "IsZero"}

// wallFunctions return times without a reading of the steady clock.
var wallFunctions = []string{
	"time.Unix", "time.UnixMilli", "time.UnixMicro", "time.Date", "time.Parse", "time.ParseInLocation", "net/http.ParseTime",
}

// runtimeFunctions read the runtime's clock, which stands still while the machine is suspended:
// ages and deadlines go by those of internal/clock.
var runtimeFunctions = []string{"time.Now", "time.Since", "time.Until"}

// timeInTaggedStruct is the use of a time in a struct that is written or read as a whole.
const timeInTaggedStruct = "a time in a struct with tags"

// connectionDeadline is why a deadline of a connection goes by the runtime's clock.
const connectionDeadline = "a connection's deadline is one of the runtime's clock"

// wallExceptions are the uses of the time of day, and of the runtime's clock, by which the gateway
// decides nothing that a suspension would change, with the reason.
var wallExceptions = map[wallUse]string{
	{"internal/clock/now.go", "(time.Time).UnixNano"}: "says when the kernel's clocks are compared, which decide",
	{"internal/clock/now.go", "time.Now"}:             "is what suspensions are added to",
	{"gateway/callerconn.go", "time.Now"}:             connectionDeadline,
	{"gateway/callerconn.go", "time.Until"}:           connectionDeadline,
	{"gateway/handler.go", "time.Now"}:                connectionDeadline,
	{"gateway/refuse.go", "time.Now"}:                 connectionDeadline,
	{"gateway/relay.go", "time.Now"}:                  connectionDeadline,
	{"internal/transfer/transfer.go", "time.Now"}:     "the progress of a call is watched by a timer of the runtime's clock",
	{"internal/transfer/transfer.go", "time.Since"}:   "for the log",
	{"gateway/endpoint/send.go", "time.Unix"}:         "a deadline that has passed by any clock ends what waits on a connection",
	{"retry/after.go", "net/http.ParseTime"}:          "the difference of two dates of one response, by the endpoint's clock",
	{"engine.go", timeInTaggedStruct}:                 "of the fleet with agents",
	{"plan.go", timeInTaggedStruct}:                   "of the fleet with agents",
	{"template.go", timeInTaggedStruct}:               "of the fleet with agents",
	{"settings/template.go", timeInTaggedStruct}:      "of the fleet with agents",
}

// TestSteadyClock checks that no code of the gateway goes by the time of day, which may
// step: its times keep their reading of the steady clock, and none of them crosses
// processes, in a message, a row or a setting; nor by the runtime's clock, which doesn't count
// suspensions. The clocks can't be set in a test, so that this is read from the code.
//
// It fails if a package that runs on the platform, commands apart, makes a time from a
// text or a number, uses another method of time.Time than those of steadyMethods, or has
// a time in a struct with tags.
func TestSteadyClock(t *testing.T) {
	set := token.NewFileSet()
	compiled := compilePackages(t)
	from := importer.ForCompiler(set, "gc", func(name string) (io.ReadCloser, error) { return os.Open(compiled[name].Export) })
	checked, found := 0, make(map[wallUse]bool)
	for name, p := range compiled {
		if !strings.HasPrefix(name, modulePath) || !runsOnPlatform(t, folderOf(name)) {
			continue
		}
		checked++
		for _, use := range wallUses(t, set, from, p) {
			assert.Check(t, wallExceptions[use] != "", "%s: %s", use.file, use.what)
			found[use] = true
		}
	}
	assert.Assert(t, checked > 20, "only %d packages were found", checked)
	for use := range wallExceptions {
		assert.Check(t, found[use], "%s: %s is an exception for nothing", use.file, use.what)
	}
}

// runsOnPlatform reports whether a folder's code is part of the gateway.
func runsOnPlatform(t *testing.T, folder string) bool {
	row := place(t, folder)
	return row.layer <= roles && (row.side == both || row.side == platform)
}

// A compiledPackage is what `go list -export` says of a package.
type compiledPackage struct {
	ImportPath string
	Dir        string
	GoFiles    []string
	Export     string // the file of its types
}

// compilePackages returns the packages of the module and all that they import, by path.
func compilePackages(t *testing.T) map[string]compiledPackage {
	t.Helper()
	list := exec.Command("go", "list", "-export", "-deps", "-json=ImportPath,Dir,GoFiles,Export", "./...")
	list.Stderr = os.Stderr
	output, err := list.Output()
	assert.NilError(t, err)
	packages := make(map[string]compiledPackage)
	decoder := json.NewDecoder(strings.NewReader(string(output)))
	for {
		var p compiledPackage
		err := decoder.Decode(&p)
		if errors.Is(err, io.EOF) {
			return packages
		}
		assert.NilError(t, err)
		packages[p.ImportPath] = p
	}
}

// A wallUse is a use of the time of day: the file, from the module's root, and what is
// used.
type wallUse struct {
	file, what string
}

// wallUses returns the uses of the time of day in a package.
func wallUses(t *testing.T, set *token.FileSet, from types.Importer, p compiledPackage) []wallUse {
	t.Helper()
	var files []*ast.File
	for _, name := range p.GoFiles {
		file, err := parser.ParseFile(set, filepath.Join(p.Dir, name), nil, 0)
		assert.NilError(t, err)
		files = append(files, file)
	}
	info := &types.Info{Uses: make(map[*ast.Ident]types.Object), Types: make(map[ast.Expr]types.TypeAndValue)}
	config := types.Config{Importer: from}
	_, err := config.Check(p.ImportPath, set, files, info)
	assert.NilError(t, err)
	var uses []wallUse
	add := func(at token.Pos, what string) {
		file := filepath.Base(set.Position(at).Filename)
		uses = append(uses, wallUse{path.Join(folderOf(p.ImportPath), file), what})
	}
	for name, object := range info.Uses {
		if what, found := wallCall(object); found {
			add(name.Pos(), what)
		}
	}
	for expression, typed := range info.Types {
		if structure, ok := typed.Type.(*types.Struct); ok && typed.IsType() && sendsTime(structure) {
			add(expression.Pos(), timeInTaggedStruct)
		}
	}
	return uses
}

// wallCall returns the name of a function or method that goes by the time of day, and
// whether the object is one.
func wallCall(object types.Object) (string, bool) {
	function, ok := object.(*types.Func)
	if !ok || function.Pkg() == nil {
		return "", false
	}
	receiver := function.Signature().Recv()
	if receiver == nil {
		name := function.Pkg().Path() + "." + function.Name()
		return name, slices.Contains(wallFunctions, name) || slices.Contains(runtimeFunctions, name)
	}
	name := fmt.Sprintf("(%s).%s", receiver.Type(), function.Name())
	return name, isTime(receiver.Type()) && !slices.Contains(steadyMethods, function.Name())
}

// sendsTime reports whether a struct that has tags, so that it is written or read as a
// whole, has a time in it.
func sendsTime(structure *types.Struct) bool {
	tagged, timed := false, false
	for i := range structure.NumFields() {
		tagged = tagged || structure.Tag(i) != ""
		timed = timed || isTime(structure.Field(i).Type())
	}
	return tagged && timed
}

// isTime reports whether a type is time.Time or a pointer to it.
func isTime(of types.Type) bool {
	return strings.TrimPrefix(of.String(), "*") == "time.Time"
}
