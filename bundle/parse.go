package bundle

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/sardinerock/sardinerock"
)

// Fault is one thing that is wrong with a bundle.
type Fault struct {
	// Path is the field, for example callers[2].grants[0].model.
	Path string `json:"path"`
	// Line counts from 1; 0 when it isn't known.
	Line    int    `json:"line"`
	Message string `json:"message"`
	// Hint says what would be right.
	Hint string `json:"hint,omitempty"`
}

// String returns the fault as one line for operators.
func (f Fault) String() string {
	text := fmt.Sprintf("line %d: %s: %s", f.Line, f.Path, f.Message)
	if f.Hint == "" {
		return text
	}
	return text + " (" + f.Hint + ")"
}

// MaxBytes bounds a bundle's document.
const MaxBytes = 8 << 20

// maxDepth bounds nesting; the deepest field of a bundle is at 6.
const maxDepth = 16

// maxOpen bounds the brackets and list marks that are open at once.
//
// The parser calls itself for each, and looks back over all of them: 30,000
// opening brackets, 30 KB, take it 1.6 s, and a few megabytes of them would
// take an entry's stack and with it the process. Brackets inside of texts
// count as well, which no name or note comes near.
const maxOpen = 200

func tooDeep(raw []byte) bool {
	open, marks := 0, 0
	for i, c := range raw {
		switch c {
		case '[', '{':
			open++
		case ']', '}':
			open = max(0, open-1)
		case '-', '?':
			if i+1 < len(raw) && raw[i+1] == ' ' {
				marks++
			}
		case '\n':
			marks = 0
		}
		if open > maxOpen || marks > maxOpen {
			return true
		}
	}
	return false
}

// Parse reads a bundle in JSON or YAML and returns it, or every fault that it has.
func Parse(raw []byte) (*sardinerock.Bundle, []Fault) {
	if len(raw) > MaxBytes {
		return nil, []Fault{{Path: "bundle", Message: "document is too large", Hint: fmt.Sprintf("at most %d bytes", MaxBytes)}}
	}
	if tooDeep(raw) {
		return nil, []Fault{{Path: "bundle", Line: 1, Message: "nested too deeply", Hint: "no field lies deeper than 6"}}
	}
	file, err := parser.ParseBytes(raw, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, []Fault{syntaxFault(err)}
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, []Fault{{Path: "bundle", Line: 1, Message: "want exactly one document"}}
	}
	b := &sardinerock.Bundle{}
	r := &reader{lines: map[string]int{}}
	r.read(reflect.ValueOf(b).Elem(), file.Docs[0].Body, "", 0)
	// References are checked also when fields are at fault, so that one run of
	// check shows everything; what a faulty field left empty is reported once.
	r.faults = append(r.faults, check(b, r)...)
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return b, nil
}

func syntaxFault(err error) Fault {
	f := Fault{Path: "bundle", Line: 1, Message: "not JSON or YAML: " + err.Error()}
	if e, ok := err.(yaml.Error); ok { //nolint:errorlint // the parser returns its own type unwrapped
		f.Message = "not JSON or YAML: " + e.GetMessage()
		if t := e.GetToken(); t != nil {
			f.Line = t.Position.Line
		}
	}
	return f
}

// reader copies a parsed document into plain structs and notes faults and lines.
type reader struct {
	faults []Fault
	lines  map[string]int
	// unread holds the paths that were there but at fault.
	unread map[string]bool
}

// line returns the line of the field, or of the nearest one around it.
func (r *reader) line(path string) int {
	for path != "" {
		if n, ok := r.lines[path]; ok {
			return n
		}
		path = parent(path)
	}
	return 1
}

// reported tells whether the field, or one around it, was at fault already.
func (r *reader) reported(path string) bool {
	for path != "" {
		if r.unread[path] {
			return true
		}
		path = parent(path)
	}
	return false
}

func parent(path string) string { return path[:max(strings.LastIndexAny(path, ".["), 0)] }

func (r *reader) fault(path string, message, hint string) {
	if r.unread == nil {
		r.unread = map[string]bool{}
	}
	r.unread[path] = true
	name := path
	if name == "" {
		name = "bundle"
	}
	r.faults = append(r.faults, Fault{Path: name, Line: r.line(path), Message: message, Hint: hint})
}

func (r *reader) read(v reflect.Value, n ast.Node, path string, depth int) {
	if depth > maxDepth {
		r.fault(path, "nested too deeply", "")
		return
	}
	if t := n.GetToken(); t != nil && r.lines[path] == 0 {
		r.lines[path] = t.Position.Line
	}
	switch v.Kind() {
	case reflect.Struct:
		r.readStruct(v, n, path, depth)
	case reflect.Slice:
		r.readSlice(v, n, path, depth)
	case reflect.String:
		r.readString(v, n, path)
	case reflect.Int, reflect.Int64:
		r.readInt(v, n, path)
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			r.fault(path, "want true or false, have "+kind(n), "")
			return
		}
		v.SetBool(b.Value)
	}
}

func (r *reader) readStruct(v reflect.Value, n ast.Node, path string, depth int) {
	pairs, ok := mapping(n)
	if !ok {
		r.fault(path, "want an object, have "+kind(n), "fields: "+strings.Join(fieldNames(v.Type()), ", "))
		return
	}
	seen := map[string]bool{}
	for _, p := range pairs {
		name := keyName(p.Key)
		at := name
		if path != "" {
			at = path + "." + name
		}
		if t := p.Key.GetToken(); t != nil && r.lines[at] == 0 {
			r.lines[at] = t.Position.Line
		}
		i, known := fieldIndex(v.Type(), name)
		switch {
		case !known:
			r.fault(at, "unknown field", nearest(name, fieldNames(v.Type())))
		case seen[name]:
			r.lines[at] = p.Key.GetToken().Position.Line
			r.fault(at, "field stands twice", "")
		default:
			r.read(v.Field(i), p.Value, at, depth+1)
		}
		seen[name] = true
	}
}

func (r *reader) readSlice(v reflect.Value, n ast.Node, path string, depth int) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		r.fault(path, "want a list, have "+kind(n), "")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values))
	for i, e := range list.Values {
		r.read(out.Index(i), e, fmt.Sprintf("%s[%d]", path, i), depth+1)
	}
	v.Set(out)
}

func (r *reader) readString(v reflect.Value, n ast.Node, path string) {
	switch s := n.(type) {
	case *ast.StringNode:
		v.SetString(s.Value)
	case *ast.LiteralNode:
		v.SetString(s.Value.Value)
	default:
		// In YAML a version named 1.10 would silently become the number 1.1.
		r.fault(path, "want text, have "+kind(n), "put it in quotes")
	}
}

func (r *reader) readInt(v reflect.Value, n ast.Node, path string) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		r.fault(path, "want a whole number, have "+kind(n), "")
		return
	}
	switch x := i.Value.(type) {
	case int64:
		v.SetInt(x)
	case uint64:
		if x > 1<<62 {
			r.fault(path, "number is too large", "")
			return
		}
		v.SetInt(int64(x))
	default:
		r.fault(path, "number is too large", "")
	}
}

func mapping(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	default:
		return nil, false
	}
}

func keyName(k ast.MapKeyNode) string {
	if s, ok := k.(*ast.StringNode); ok {
		return s.Value
	}
	return k.String()
}

func kind(n ast.Node) string {
	switch n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "an object"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode, *ast.LiteralNode:
		return "text"
	case *ast.IntegerNode, *ast.FloatNode:
		return "a number"
	case *ast.BoolNode:
		return "true or false"
	case *ast.NullNode:
		return "nothing"
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		return "a YAML reference, which bundles do not take"
	default:
		return "something else"
	}
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for f := range t.Fields() {
		names = append(names, fieldName(f))
	}
	return names
}

func fieldIndex(t reflect.Type, name string) (int, bool) {
	for i := range t.NumField() {
		if fieldName(t.Field(i)) == name {
			return i, true
		}
	}
	return 0, false
}

// nearest hints at a field that differs in case alone, or lists them all.
func nearest(name string, names []string) string {
	for _, n := range names {
		if strings.EqualFold(n, name) {
			return "did you mean " + n + "?"
		}
	}
	return "fields here: " + strings.Join(names, ", ")
}
