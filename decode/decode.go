package decode

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Fault is an error in a document. Operators receive it in responses, so its texts are part of the API.
type Fault struct {
	// Path is the path of the field, for example callers[2].grants[0].model, or "document" for the whole document.
	Path string `json:"path"`
	// Line counts from 1; 0 means that it is unknown.
	Line    int    `json:"line"`
	Message string `json:"message"`
	// Hint says how to correct the fault.
	Hint string `json:"hint,omitempty"`
}

// String formats the fault as one line of text for operators.
func (f Fault) String() string {
	text := fmt.Sprintf("line %d: %s: %s", f.Line, f.Path, f.Message)
	if f.Hint == "" {
		return text
	}
	return text + " (" + f.Hint + ")"
}

// MaxBytes is the maximum size of a document.
const MaxBytes = 8 << 20

// maxDepth is the maximum nesting of structs and lists.
const maxDepth = 16

// maxOpen is the maximum number of brackets, or of list markers in a line, that
// are open at once.
//
// The parser recurses for each of them, in quadratic time: 30,000 opening
// brackets (30 KB) take it 1.6 s, and a few megabytes of them would overflow the
// stack and crash the entry. Brackets inside strings count too, which is harmless:
// no name or note contains nearly as many.
const maxOpen = 200

func tooDeep(raw []byte) bool {
	open, markers := 0, 0
	for i, c := range raw {
		switch c {
		case '[', '{':
			open++
		case ']', '}':
			open = max(0, open-1)
		case '-', '?':
			if i+1 < len(raw) && raw[i+1] == ' ' {
				markers++
			}
		case '\n':
			markers = 0
		}
		if open > maxOpen || markers > maxOpen {
			return true
		}
	}
	return false
}

// wholeDocument is the path of faults that concern the document as a whole.
const wholeDocument = "document"

// Read decodes a document in JSON or YAML into the struct that into points to,
// by the names in its json tags. The returned document contains all faults; fields
// with a fault keep their zero values.
func Read(raw []byte, into any) *Document {
	d := &Document{lines: map[string]int{}, faulty: map[string]bool{}}
	if len(raw) > MaxBytes {
		d.Faults = []Fault{{Path: wholeDocument, Message: "is too large", Hint: fmt.Sprintf("at most %d bytes", MaxBytes)}}
		return d
	}
	if tooDeep(raw) {
		d.Faults = []Fault{{Path: wholeDocument, Line: 1, Message: "nested too deeply"}}
		return d
	}
	file, err := parser.ParseBytes(raw, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.Faults = []Fault{syntaxFault(err)}
		return d
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		d.Faults = []Fault{{Path: wholeDocument, Line: 1, Message: "want exactly one document"}}
		return d
	}
	d.Readable = true
	d.read(reflect.ValueOf(into).Elem(), file.Docs[0].Body, "", 0)
	return d
}

func syntaxFault(err error) Fault {
	f := Fault{Path: wholeDocument, Line: 1, Message: "not JSON or YAML: " + err.Error()}
	if e, ok := err.(yaml.Error); ok { //nolint:errorlint // the parser returns its own type unwrapped
		f.Message = "not JSON or YAML: " + e.GetMessage()
		if t := e.GetToken(); t != nil {
			f.Line = t.Position.Line
		}
	}
	return f
}

// Document is a decoded document with its faults and the lines of its fields.
type Document struct {
	Faults []Fault
	// Readable is false if nothing was decoded, since the input is too large, nested too deeply or not exactly one
	// document in JSON or YAML.
	Readable bool

	lines map[string]int
	// faulty contains the paths of the fields with a fault.
	faulty map[string]bool
}

// Line returns the line of the field, or else of the innermost field that encloses it, or 1.
func (d *Document) Line(path string) int {
	for path != "" {
		if n, ok := d.lines[path]; ok {
			return n
		}
		path = parent(path)
	}
	return 1
}

// Reported reports whether the field or one that encloses it has a fault already.
func (d *Document) Reported(path string) bool {
	for path != "" {
		if d.faulty[path] {
			return true
		}
		path = parent(path)
	}
	return false
}

func parent(path string) string { return path[:max(strings.LastIndexAny(path, ".["), 0)] }

func (d *Document) fault(path string, message, hint string) {
	d.faulty[path] = true
	name := path
	if name == "" {
		name = wholeDocument
	}
	d.Faults = append(d.Faults, Fault{Path: name, Line: d.Line(path), Message: message, Hint: hint})
}

func (d *Document) read(v reflect.Value, n ast.Node, path string, depth int) {
	if depth > maxDepth {
		d.fault(path, "nested too deeply", "")
		return
	}
	if t := n.GetToken(); t != nil && d.lines[path] == 0 {
		d.lines[path] = t.Position.Line
	}
	switch v.Kind() {
	case reflect.Struct:
		d.readStruct(v, n, path, depth)
	case reflect.Slice:
		d.readSlice(v, n, path, depth)
	case reflect.String:
		d.readString(v, n, path)
	case reflect.Int, reflect.Int64:
		d.readInt(v, n, path)
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			d.fault(path, "want true or false, have "+kind(n), "")
			return
		}
		v.SetBool(b.Value)
	}
}

func (d *Document) readStruct(v reflect.Value, n ast.Node, path string, depth int) {
	pairs, ok := mapping(n)
	if !ok {
		d.fault(path, "want an object, have "+kind(n), "fields: "+strings.Join(fieldNames(v.Type()), ", "))
		return
	}
	seen := map[string]bool{}
	for _, p := range pairs {
		name := keyName(p.Key)
		fieldPath := name
		if path != "" {
			fieldPath = path + "." + name
		}
		if t := p.Key.GetToken(); t != nil && d.lines[fieldPath] == 0 {
			d.lines[fieldPath] = t.Position.Line
		}
		i, known := fieldIndex(v.Type(), name)
		switch {
		case !known:
			d.fault(fieldPath, "unknown field", fieldHint(name, fieldNames(v.Type())))
		case seen[name]:
			d.lines[fieldPath] = p.Key.GetToken().Position.Line
			d.fault(fieldPath, "field stands twice", "")
		default:
			d.read(v.Field(i), p.Value, fieldPath, depth+1)
		}
		seen[name] = true
	}
}

func (d *Document) readSlice(v reflect.Value, n ast.Node, path string, depth int) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		d.fault(path, "want a list, have "+kind(n), "")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values))
	for i, e := range list.Values {
		d.read(out.Index(i), e, fmt.Sprintf("%s[%d]", path, i), depth+1)
	}
	v.Set(out)
}

func (d *Document) readString(v reflect.Value, n ast.Node, path string) {
	switch s := n.(type) {
	case *ast.StringNode:
		v.SetString(s.Value)
	case *ast.LiteralNode:
		v.SetString(s.Value.Value)
	default:
		// Numbers are rejected because YAML would silently turn a version named 1.10 into 1.1.
		d.fault(path, "want text, have "+kind(n), "put it in quotes")
	}
}

func (d *Document) readInt(v reflect.Value, n ast.Node, path string) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		d.fault(path, "want a whole number, have "+kind(n), "")
		return
	}
	switch x := i.Value.(type) {
	case int64:
		v.SetInt(x)
	case uint64:
		if x > 1<<62 {
			d.fault(path, "number is too large", "")
			return
		}
		v.SetInt(int64(x))
	default:
		d.fault(path, "number is too large", "")
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

// fieldHint suggests the field that differs only in case, or else lists all fields.
func fieldHint(name string, names []string) string {
	for _, n := range names {
		if strings.EqualFold(n, name) {
			return "did you mean " + n + "?"
		}
	}
	return "fields here: " + strings.Join(names, ", ")
}
