package gateway

import (
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"
)

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

// modelInfo is one element of modelList. ID is the name of a route, and OwnedBy is the model that the
// route leads to.
type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleModels is the handler of GET /v1/models. It lists the routes to models that the client account
// may use, sorted by name.
func (g *Gateway) handleModels(c echo.Context) error {
	s := g.snapshot()
	if s == nil {
		return noConfigurationError()
	}
	_, account, err := authenticate(s, c.Request().Header)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelInfo{}}
	for name, r := range s.Routes {
		if r.Model != "" && mayUse(account, name) {
			list.Data = append(list.Data, modelInfo{ID: name, Object: "model", OwnedBy: r.Model})
		}
	}
	slices.SortFunc(list.Data, func(a, b modelInfo) int { return strings.Compare(a.ID, b.ID) })
	return c.JSON(http.StatusOK, list)
}
