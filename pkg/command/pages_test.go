package command

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// pageLink matches a link in a Markdown page and captures its target.
var pageLink = regexp.MustCompile(`\]\(([^)\s]+)\)`)

// TestPageLinks checks that every relative link between the repository's Markdown
// pages leads to an existing file, and to an existing heading if it has a fragment.
func TestPageLinks(t *testing.T) {
	root := filepath.Join("..", "..")
	var pages []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/design/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, found...)
	}
	if len(pages) == 0 {
		t.Fatal("no pages found")
	}
	for _, page := range pages {
		for _, match := range pageLink.FindAllStringSubmatch(readFile(t, page), -1) {
			if !strings.Contains(match[1], "://") {
				checkLink(t, page, match[1])
			}
		}
	}
}

func checkLink(t *testing.T, page, target string) {
	t.Helper()
	file, heading, _ := strings.Cut(target, "#")
	path := page
	if file != "" {
		path = filepath.Join(filepath.Dir(page), file)
	}
	if _, err := os.Stat(path); err != nil {
		t.Errorf("%s: link %s: %v", page, target, err)
		return
	}
	if heading != "" && !headings(readFile(t, path))[heading] {
		t.Errorf("%s: link %s: heading not found", page, target)
	}
}

// headingMark matches the characters that are removed from a heading's anchor.
var headingMark = regexp.MustCompile(`[^\p{L}\p{N}_ -]`)

// headings returns the anchors of a page's headings.
func headings(text string) map[string]bool {
	anchors := make(map[string]bool)
	inCode := false
	for line := range strings.SplitSeq(text, "\n") {
		if strings.HasPrefix(line, "```") {
			inCode = !inCode
		}
		if inCode || !strings.HasPrefix(line, "#") {
			continue
		}
		title := strings.ToLower(strings.TrimSpace(strings.TrimLeft(line, "#")))
		anchors[strings.ReplaceAll(headingMark.ReplaceAllString(title, ""), " ", "-")] = true
	}
	return anchors
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
