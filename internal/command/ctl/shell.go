package ctl

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/chzyer/readline"
	"github.com/pkg/errors"
)

var commands = []string{
	"draft", "sign", "submit", "apply", "status", "show", "diff", "holdings", "nodes", "odds", "trace", "state", "shares", "why", "counts", "wrong", "watch", "place", "adopt", "open", "exit",
}

func (a *args) shell() error {
	lines, err := readline.NewEx(terminal())
	if err != nil {
		return err
	}
	defer lines.Close()
	for {
		line, err := lines.Readline()
		if err == readline.ErrInterrupt {
			continue
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if words[0] == "exit" {
			return nil
		}
		a.line(words)
	}
}

// terminal returns how lines are read: with the commands completed, and a
// history in the user's home folder if there is one.
func terminal() *readline.Config {
	var inner []readline.PrefixCompleterInterface
	for _, each := range views {
		inner = append(inner, readline.PcItem(each))
	}
	var items []readline.PrefixCompleterInterface
	for _, name := range commands {
		if name == "open" {
			items = append(items, readline.PcItem(name, inner...))
			continue
		}
		items = append(items, readline.PcItem(name))
	}
	config := &readline.Config{Prompt: "curlew> ", AutoComplete: readline.NewPrefixCompleter(items...)}
	if home, err := os.UserHomeDir(); err == nil {
		config.HistoryFile = filepath.Join(home, ".quiz_history")
	}
	return config
}

func (a *args) line(words []string) {
	next := args{Controllers: a.Controllers, JSON: a.JSON}
	parser, err := arg.NewParser(arg.Config{Program: program}, &next)
	if err == nil {
		err = parser.Parse(words)
	}
	switch {
	case errors.Is(err, arg.ErrHelp) || err == nil && (parser.Subcommand() == nil || next.Open != nil && next.Open.empty()):
		parser.WriteHelp(os.Stdout)
	case err != nil:
		fmt.Println("fault:", err)
		parser.WriteUsage(os.Stdout)
	case next.Shell != nil:
		fmt.Println("fault: this is the shell")
	default:
		if next.Controllers == "" {
			next.Controllers = a.Controllers
		}
		next.JSON = next.JSON || a.JSON
		if err := next.once(); err != nil {
			fmt.Println("fault:", err)
		}
	}
}
