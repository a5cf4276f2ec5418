package network

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const module = "fescuestand/"

// forbidden are the identifiers that open sockets or read the machine's clock, by import path.
var forbidden = map[string][]string{
	"net": {
		"Dial", "DialIP", "DialTCP", "DialTimeout", "DialUDP", "DialUnix", "Dialer", "FileConn", "FileListener", "FilePacketConn",
		"Listen", "ListenConfig", "ListenIP", "ListenMulticastUDP", "ListenPacket", "ListenTCP", "ListenUDP", "ListenUnix", "ListenUnixgram",
	},
	"net/http": {
		"DefaultClient", "DefaultTransport", "Get", "Head", "ListenAndServe", "ListenAndServeTLS", "Post", "PostForm",
	},
	"syscall":                    {"Socket"},
	"golang.org/x/sys/unix":      {"Socket", "ClockGettime"},
	"fescuestand/internal/clock": {"Boot"},
}

// exceptions are the files that may use what is forbidden, with the identifiers and the reason.
var exceptions = map[string]string{
	"internal/network/network.go":   "net.Dialer net.ListenConfig",        // the machine's network
	"internal/clock/clock.go":       "golang.org/x/sys/unix.ClockGettime", // the machine's clock
	"internal/vm/vm.go":             "fescuestand/internal/clock.Boot",    // the default of Options.Clock
	"internal/keyedlog/keyedlog.go": "fescuestand/internal/clock.Boot",    // a default that vm replaces
}

// Guards against a socket or a clock of a VM that a simulation doesn't replace.
func TestVMOpensSocketsOnlyHere(t *testing.T) {
	root, err := filepath.Abs("../..")
	assert.NilError(t, err)
	c := &checker{root: root, seen: map[string]bool{}, used: map[string][]string{}}
	assert.NilError(t, c.checkPackage("internal/vm"))
	assert.Check(t, len(c.seen) > 20, "only %d packages were checked", len(c.seen))
	for file, uses := range c.used {
		for _, use := range uses {
			assert.Check(t, slices.Contains(strings.Fields(exceptions[file]), use), "%s uses %s", file, use)
		}
	}
	for file, allowed := range exceptions {
		for use := range strings.FieldsSeq(allowed) {
			assert.Check(t, slices.Contains(c.used[file], use), "%s no longer uses %s: remove the exception", file, use)
		}
	}
}

// Guards against a check that finds nothing.
func TestForbiddenUsesAreFound(t *testing.T) {
	const text = `package p
import ("net"; web "net/http"; "golang.org/x/sys/unix")
var a, b = net.Dial, &web.Transport{}
var c = &web.Client{}
var d = &web.Transport{DialContext: nil}
var e = unix.Socket
var f net.Conn
`
	f, err := parser.ParseFile(token.NewFileSet(), "p.go", text, 0)
	assert.NilError(t, err)
	uses, _ := usesOf(f)
	slices.Sort(uses)
	assert.DeepEqual(t, uses, []string{
		"golang.org/x/sys/unix.Socket", "net.Dial", "net/http.Client without Transport", "net/http.Transport without DialContext",
	})
}

// checker checks the packages of the module that a package imports.
type checker struct {
	root string
	seen map[string]bool
	used map[string][]string // by file
}

func (c *checker) checkPackage(dir string) error {
	if c.seen[dir] {
		return nil
	}
	c.seen[dir] = true
	names, err := filepath.Glob(filepath.Join(c.root, dir, "*.go"))
	if err != nil || len(names) == 0 {
		return fmt.Errorf("no files in %s: %w", dir, err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		if err := c.checkFile(name); err != nil {
			return err
		}
	}
	return nil
}

// checkFile checks a file and the packages that it imports.
func (c *checker) checkFile(name string) error {
	f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	file, err := filepath.Rel(c.root, name)
	if err != nil {
		return err
	}
	uses, imports := usesOf(f)
	c.used[file] = uses
	for _, path := range imports {
		if err := c.checkPackage(strings.TrimPrefix(path, module)); err != nil {
			return err
		}
	}
	return nil
}

// usesOf returns the forbidden uses of a file, and the packages of this module that it imports.
func usesOf(f *ast.File) (uses, imports []string) {
	paths := map[string]string{} // by name
	for _, i := range f.Imports {
		path, err := strconv.Unquote(i.Path.Value)
		if err != nil {
			continue
		}
		name := path[strings.LastIndex(path, "/")+1:]
		if i.Name != nil {
			name = i.Name.Name
		}
		paths[name] = path
		if strings.HasPrefix(path, module) {
			imports = append(imports, path)
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.SelectorExpr:
			if path, name := qualified(paths, n); slices.Contains(forbidden[path], name) {
				uses = append(uses, path+"."+name)
			}
		case *ast.CompositeLit:
			uses = append(uses, lackingField(paths, n)...)
		}
		return true
	})
	return uses, imports
}

// qualified returns the import path and the name of a selector of a package, empty for another one.
func qualified(paths map[string]string, e ast.Expr) (path, name string) {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return "", ""
	}
	id, ok := s.X.(*ast.Ident)
	if !ok {
		return "", ""
	}
	return paths[id.Name], s.Sel.Name
}

// lackingField returns a use if the literal is a client or a transport that would dial by itself.
func lackingField(paths map[string]string, n *ast.CompositeLit) []string {
	path, name := qualified(paths, n.Type)
	required := map[string]string{"Client": "Transport", "Transport": "DialContext"}[name]
	if path != "net/http" || required == "" {
		return nil
	}
	for _, e := range n.Elts {
		if kv, ok := e.(*ast.KeyValueExpr); ok {
			if key, ok := kv.Key.(*ast.Ident); ok && key.Name == required {
				return nil
			}
		}
	}
	return []string{path + "." + name + " without " + required}
}
