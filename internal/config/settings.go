package config

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cranegate/internal/simwire"
	"cranegate/routing"
)

// Settings are the router's configuration and the other settings that a gateway on sockets uses.
//
// The setting "policyLimits.connectTimeoutS" is ConnectTimeout, "policyLimits.idleCloseS" is HostIdleTimeout and
// "rules.answerSlackS" is AnswerSlack, all in seconds. Package simwire maps the settings of the router's configuration.
type Settings struct {
	Routing         routing.Config
	ConnectTimeout  time.Duration
	HostIdleTimeout time.Duration // the time after which database hosts close idle connections at the latest
	AnswerSlack     time.Duration // how long after the client's deadline a final answer may still come
}

// maxTimeoutSeconds bounds the timeouts of Settings.
const maxTimeoutSeconds = 3600.0

// ReadSettings reads the nested object of settings, which has the same names as in the simulator's protocol. It returns a
// *simwire.SettingError for a setting that is missing or out of range.
func ReadSettings(object map[string]any) (Settings, error) {
	values := map[string]string{}
	flatten(values, "", object)
	var s Settings
	var err error
	if s.Routing, err = simwire.Config(values); err != nil {
		return s, err
	}
	for _, timeout := range []struct {
		path string
		to   *time.Duration
	}{
		{"policyLimits.connectTimeoutS", &s.ConnectTimeout},
		{"policyLimits.idleCloseS", &s.HostIdleTimeout},
		{"rules.answerSlackS", &s.AnswerSlack},
	} {
		if *timeout.to, err = parseTimeout(timeout.path, values[timeout.path]); err != nil {
			return s, err
		}
	}
	return s, nil
}

// parseTimeout parses a positive number of seconds up to maxTimeoutSeconds.
func parseTimeout(path, value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(value, 64)
	inRange := seconds > 0 && seconds <= maxTimeoutSeconds // false for NaN
	if err != nil || !inRange {
		return 0, &simwire.SettingError{Path: path, Value: value, Needs: fmt.Sprintf("more than 0 and at most %g s", maxTimeoutSeconds)}
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// flatten stores nested settings by their paths, in the form of the simulator's protocol. The elements of a list of plain values are
// joined with commas. The length of a list of objects is stored under the list's path with the suffix .count.
func flatten(values map[string]string, path string, node any) {
	switch node := node.(type) {
	case map[string]any:
		for name, child := range node {
			flatten(values, strings.TrimPrefix(path+"."+name, "."), child)
		}
	case []map[string]any:
		objects := make([]any, len(node))
		for i, object := range node {
			objects[i] = object
		}
		flatten(values, path, objects)
	case []any:
		flattenList(values, path, node)
	case nil:
	default:
		values[path] = fmt.Sprint(node)
	}
}

// flattenList stores a list as flatten does. Commas in plain values become underscores.
func flattenList(values map[string]string, path string, list []any) {
	countPath := path + ".count"
	var plain []string
	for i, element := range list {
		if object, ok := element.(map[string]any); ok {
			flatten(values, path+"."+strconv.Itoa(i), object)
			values[countPath] = strconv.Itoa(len(list))
		} else {
			plain = append(plain, strings.ReplaceAll(fmt.Sprint(element), ",", "_"))
		}
	}
	if values[countPath] == "" {
		values[path] = strings.Join(plain, ",")
	}
}
