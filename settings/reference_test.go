package settings

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/ryeford/ryeford"
)

// referenceFile is the path of the generated page, relative to testdata/, as package
// golden expects.
const referenceFile = "../../docs/settings.md"

// referenceHead is the beginning of the page.
const referenceHead = `# Settings

Generated from the types in ` + "`settings/`" + ` by ` + "`go test ./settings -update`" + `; a test fails when it is out of date.

A settings file is YAML and is read strictly: an unknown key, a value out of bounds or a
duration without a unit (` + "`250ms`, `2s`, `10m`" + `) is an error that names the file, the line,
the key and what is allowed. ` + "`ryeford check ROLE FILE`" + ` reads a file as the role does. A
process takes its addresses and its failure domain from its file only. ` + "`ryeford cert VM...`" + `
creates an authority and certificates for tests.

A gateway reads its file again on SIGHUP, logs whether it is valid (` + "`msg=reload`" + `), and applies
` + "`memory_mb`" + `; all other settings take effect at the next start. SIGHUP ends the other
roles, since they don't handle it.
`

// sections are the sections of the page, one for each kind of settings file.
var sections = []struct {
	name, title string
}{
	{"gateway", "Gateway: a router on the users' platform"},
	{"router", "Router of the fleet with agents"},
	{"agent", "Agent"},
	{"template", "Template"},
	{"standin", "Stand-ins, for trials"},
}

// TestReference checks that docs/settings.md is up to date with the types, that each
// setting has a comment and that each number has a unit.
func TestReference(t *testing.T) {
	r := &reference{t: t, comments: fieldComments(t)}
	r.out.WriteString(referenceHead)
	for _, s := range sections {
		fmt.Fprintf(&r.out, "\n## %s\n\nAnnotated example: [%s.yaml](examples/%s.yaml).\n\n", s.title, s.name, s.name)
		r.out.WriteString("| setting | value | default | bounds | meaning |\n|---|---|---|---|---|\n")
		r.addFields(reflect.ValueOf(defaults[s.name]()).Elem(), "")
	}
	golden.Assert(t, r.out.String(), referenceFile)
}

// A reference builds the text of the page.
type reference struct {
	t        *testing.T
	out      strings.Builder
	comments map[string]string // by Type.Field
}

// addFields adds a row for each setting of a struct, recursively.
func (r *reference) addFields(v reflect.Value, prefix string) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Anonymous {
			r.addFields(v.Field(i), prefix)
			continue
		}
		key := prefix + yamlKey(field)
		value := v.Field(i)
		if value.Kind() == reflect.Pointer && value.IsNil() {
			value = reflect.New(field.Type.Elem())
		}
		value = reflect.Indirect(value)
		switch {
		case isBlock(value.Type()):
			r.addFields(value, key+".")
		case value.Kind() == reflect.Slice && isBlock(value.Type().Elem()):
			r.addRow(v.Type(), field, key, value)
			r.addFields(reflect.New(value.Type().Elem()).Elem(), key+"[].")
		default:
			r.addRow(v.Type(), field, key, value)
		}
	}
}

func (r *reference) addRow(owner reflect.Type, field reflect.StructField, key string, value reflect.Value) {
	comment := r.comments[owner.Name()+"."+field.Name]
	if comment == "" {
		r.t.Errorf("%s.%s has no comment", owner.Name(), field.Name)
	}
	comment = meaning(comment, field)
	unit := field.Tag.Get("unit")
	if unit == "" && isNumber(value.Type()) {
		r.t.Errorf("%s.%s has no unit", owner.Name(), field.Name)
	}
	rules := field.Tag.Get("validate")
	defaultCell := defaultText(value)
	if requiredRules.MatchString(rules) {
		defaultCell = "required"
	}
	fmt.Fprintf(&r.out, "| `%s` | %s | %s | %s | %s |\n", key, valueText(value.Type(), unit), defaultCell, boundsText(owner, rules), comment)
}

// requiredRules matches validation rules that the zero value doesn't satisfy.
var requiredRules = regexp.MustCompile(`^(required|gt=0|oneof=)`)

// meaning returns a comment with the leading Go name removed or replaced by the key.
func meaning(comment string, field reflect.StructField) string {
	for _, verb := range []string{" is ", " are "} {
		if text, ok := strings.CutPrefix(comment, field.Name+verb); ok {
			return strings.ToUpper(text[:1]) + text[1:]
		}
	}
	return strings.Replace(comment, field.Name+" ", "`"+yamlKey(field)+"` ", 1)
}

// yamlKey returns the YAML key of a field.
func yamlKey(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return key
}

// isBlock reports whether a type is a struct of nested settings.
func isBlock(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && t.PkgPath() == reflect.TypeFor[Gateway]().PkgPath() && t != reflect.TypeFor[Address]()
}

// isNumber reports whether a type is a number that needs a unit.
func isNumber(t reflect.Type) bool {
	return t != reflect.TypeFor[time.Duration]() && (t.Kind() == reflect.Int || t.Kind() == reflect.Int64 || t.Kind() == reflect.Float64)
}

// valueText returns the description of a setting's type.
func valueText(t reflect.Type, unit string) string {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "duration"
	case t == reflect.TypeFor[time.Time]():
		return "time, RFC 3339"
	case t == reflect.TypeFor[Address]():
		return "`IP:PORT`"
	case t == reflect.TypeFor[[]ryeford.Pool]():
		return "list of model, adapter, version"
	case t.Kind() == reflect.Slice && isBlock(t.Elem()):
		return "list"
	case t.Kind() == reflect.Slice:
		return "list of texts, " + unit
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.String && unit != "":
		return "text, " + unit
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Float64:
		return "number, " + unit
	}
	return "whole number, " + unit
}

// zeroUnits matches the redundant zeros of a duration's text, as in 2m0s.
var zeroUnits = regexp.MustCompile(`([hm])0[ms](0s)?$`)

func defaultText(value reflect.Value) string {
	if d, ok := value.Interface().(time.Duration); ok {
		return "`" + zeroUnits.ReplaceAllString(d.String(), "$1") + "`"
	}
	if value.IsZero() && !isNumber(value.Type()) && value.Kind() != reflect.Bool {
		return "none"
	}
	return fmt.Sprintf("`%v`", value.Interface())
}

// boundsText returns the description of the rules of a validate tag.
func boundsText(owner reflect.Type, rules string) string {
	var texts []string
	for rule := range strings.SplitSeq(rules, ",") {
		name, value, _ := strings.Cut(rule, "=")
		switch name {
		case "min":
			texts = append(texts, "from "+value)
		case "max", "lte":
			texts = append(texts, "to "+value)
		case "gt":
			texts = append(texts, "above "+value)
		case "len":
			texts = append(texts, "exactly "+value)
		case "oneof":
			texts = append(texts, strings.ReplaceAll(value, " ", " or "))
		case "ltfield":
			other, _ := owner.FieldByName(value)
			texts = append(texts, "less than `"+yamlKey(other)+"`")
		case "excludesall":
			texts = append(texts, "without "+strings.ReplaceAll(strings.ReplaceAll(value, " ", " and spaces"), "/", "`/`"))
		}
	}
	return strings.Join(texts, ", ")
}

// fieldComments returns the comments of the fields of the package's types, by
// Type.Field, each joined to one line.
func fieldComments(t *testing.T) map[string]string {
	t.Helper()
	comments := make(map[string]string)
	names, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	for _, name := range names {
		content, err := os.ReadFile(name)
		assert.NilError(t, err)
		file, err := parser.ParseFile(token.NewFileSet(), name, content, parser.ParseComments)
		assert.NilError(t, err)
		ast.Inspect(file, func(node ast.Node) bool {
			spec, ok := node.(*ast.TypeSpec)
			if !ok {
				return true
			}
			if s, ok := spec.Type.(*ast.StructType); ok {
				for _, field := range s.Fields.List {
					for _, fieldName := range field.Names {
						comments[spec.Name.Name+"."+fieldName.Name] = strings.Join(strings.Fields(field.Doc.Text()), " ")
					}
				}
			}
			return false
		})
	}
	return comments
}
