// Package settings decodes JSON with comments strictly. One run reports every unknown key, wrong type
// and invalid value, each with its file and line, what is wrong and what is allowed.
package settings

import (
	"encoding"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"fescuestand/internal/code"
)

// Duration is a time.Duration written as "250ms" or "8s".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration; allowed: a number with unit, such as \"250ms\", \"8s\", \"5m\"", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

var _ encoding.TextUnmarshaler = (*Duration)(nil)

// Problem is one error in a file.
type Problem struct {
	File string
	Line int // from 1; 0 if the line is not known
	Col  int
	Path string // such as pools[2].engines[0]
	Code code.Code
	Text string
}

// String returns the problem as file:line:col: number name: path: text.
func (p Problem) String() string {
	path := p.Path
	if path != "" {
		path += ": "
	}
	return fmt.Sprintf("%s:%d:%d: %d %s: %s%s", p.File, p.Line, p.Col, int(p.Code), p.Code, path, p.Text)
}

// Problems collects the problems found in one file. As an error it holds at least one; see Err.
type Problems struct {
	File string
	List []Problem

	src     []byte
	offsets map[string]int // byte offset in src by path
}

// Error implements error.
func (p *Problems) Error() string {
	lines := make([]string, len(p.List))
	for i, problem := range p.List {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns p as an error, or nil if there is no problem.
func (p *Problems) Err() error {
	if len(p.List) == 0 {
		return nil
	}
	return p
}

// Add adds a problem at path. If the file does not contain path, the problem gets the line of the
// closest parent that it contains.
func (p *Problems) Add(path string, c code.Code, format string, args ...any) {
	offset, ok := 0, false
	for ancestor := path; ; ancestor = parentPath(ancestor) {
		if offset, ok = p.offsets[ancestor]; ok || ancestor == "" {
			break
		}
	}
	p.addAt(offset, path, c, format, args...)
}

func (p *Problems) addAt(offset int, path string, c code.Code, format string, args ...any) {
	line, col := lineAndColumn(p.src, offset)
	p.List = append(p.List, Problem{
		File: p.File, Line: line, Col: col, Path: path, Code: c, Text: fmt.Sprintf(format, args...),
	})
}

// Validator is implemented by types that check their values after decoding.
type Validator interface {
	Validate(p *Problems)
}

// Load decodes the named file into v.
func Load(file string, v any) error {
	src, err := os.ReadFile(file)
	if err != nil {
		return code.Wrap(code.BadSettings, err, "can't read %s", file)
	}
	return Decode(file, src, v)
}

// Decode decodes src into v, a pointer to a struct, and runs its Validator if it is one. The error is
// a *Problems with every problem found.
func Decode(file string, src []byte, v any) error {
	p := &Problems{File: file, src: src, offsets: map[string]int{}}
	root, err := hujson.Parse(src)
	if err != nil {
		p.addAt(len(src)-1, "", code.BadSettings, "not JSON with comments: %v", err)
		return p
	}
	p.checkValue(root, pointedType(v), "")
	if len(p.List) > 0 {
		return p
	}
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), v); err != nil {
		p.addAt(0, "", code.BadSettings, "%v", err)
		return p
	}
	if validator, ok := v.(Validator); ok {
		validator.Validate(p)
	}
	return p.Err()
}

// parentPath removes the last key or index of path, as in pools[0] for pools[0].name.
func parentPath(path string) string {
	if i := strings.LastIndexAny(path, ".["); i >= 0 {
		return path[:i]
	}
	return ""
}

// lineAndColumn returns the place of a byte offset in src, both counted from 1.
func lineAndColumn(src []byte, offset int) (line, col int) {
	offset = max(0, min(offset, len(src)))
	before := string(src[:offset])
	line = strings.Count(before, "\n") + 1
	col = offset - strings.LastIndex(before, "\n")
	return line, col
}
