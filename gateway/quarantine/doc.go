// Package quarantine tells apart requests that end the endpoints which run them.
package quarantine
