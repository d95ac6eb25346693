package schema

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

type document struct {
	Name  string `json:"name" validate:"required,identifier"`
	Items []item `json:"items" validate:"dive"`
}

type item struct {
	Size    int    `json:"size" validate:"min=1,max=9"`
	Address string `json:"address" validate:"omitempty,ip_port"`
}

func TestProblems(t *testing.T) {
	cases := []struct {
		name, data string
		want       []string
	}{
		{"valid", `{"name":"a","items":[{"size":1,"address":"[::1]:80"}]}`, nil},
		{"syntax", "{\n  \"name\": ]", []string{"line 2, column 11: invalid character ']' looking for beginning of value"}},
		{"truncated", `{"name":`, []string{"the document ends too early"}},
		{"unknown field", `{"nmae":"a"}`, []string{`unknown field "nmae"`}},
		{"trailing data", `{"name":"a"} {}`, []string{"data after the document at byte 14"}},
		{"type", `{"items":[{"size":"x"}]}`, []string{"items.size: is a JSON string, must be int"}},
		{"all at once", `{"items":[{"size":1},{"size":10,"address":"host:80"}]}`, []string{
			"name: is missing, must be set",
			"items[1].size: 10 is not allowed, must be at most 9",
			`items[1].address: "host:80" is not allowed, must be an IP address and a port, such as 192.0.2.1:8443`,
		}},
		{"identifier", `{"name":"a@b"}`, []string{
			`name: "a@b" is not allowed, must be 1 to 128 letters, digits, '.', '-' or '_', starting with a letter or digit`,
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := problemsOf(t, c.data)
			if !slices.Equal(got, c.want) {
				t.Errorf("problems:\n got %q\nwant %q", got, c.want)
			}
		})
	}
}

func TestIsIdentifier(t *testing.T) {
	long := strings.Repeat("a", 128)
	for _, name := range []string{"a", "Z9", "0", "a.b-c_d", long} {
		if !IsIdentifier(name) {
			t.Errorf("%q was rejected", name)
		}
	}
	for _, name := range []string{"", "-a", ".a", "_a", "a b", "a@1", "a:b", "a/b", "*", "é", "a\n", long + "a"} {
		if IsIdentifier(name) {
			t.Errorf("%q was accepted", name)
		}
	}
}

func problemsOf(t *testing.T, data string) []string {
	t.Helper()
	var target document
	err := Decode([]byte(data), &target)
	if err == nil {
		err = Validate(&target)
	}
	if err == nil {
		return nil
	}
	var schemaErr *Error
	if !errors.As(err, &schemaErr) {
		t.Fatalf("error %v has type %T", err, err)
	}
	var lines []string
	for _, problem := range schemaErr.Problems {
		lines = append(lines, problem.String())
	}
	return lines
}
