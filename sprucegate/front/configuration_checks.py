"""Checks that the settings describe one kind of deployment without contradictions.

Valid combinations are those that the platform sends, such as a rejection without a retry time beside the longest
retry time, or a link of unknown size (0). A contradiction is rejected, as a front would follow one of the two
settings unnoticed.
"""

from math import isfinite

from sprucegate.simulator.settings import SETTINGS_BY_PATH

ALLOWED_VALUES = {
    "tells": ("all", "hit", "none"),
    "load_by": ("answers", "probe", "none"),
    "siblings": ("none", "location", "any"),
    "weights": ("none", "nominal", "rough", "live"),
    "discovery": ("push", "ask"),
}
NON_NEGATIVE = (
    "client_kb_per_s",
    "link_in_kb_per_s",
    "fronts_by_location",
    "max_retry_after",
    "purge_grace",
    "purge_done",
    "fall_multiple",
    "parent_fall_multiple",
    "cold_share",
    "parent_cold_share",
    "warm_time",
    "parent_warm_time",
    "fall_time",
)
FRACTIONS = ("cold_share", "parent_cold_share")
BY_LOCATION = ("link_in_kb_per_s", "fronts_by_location", "hub_of_location")
PATHS = {name: path for path, (name, _) in SETTINGS_BY_PATH.items()}


def find_contradiction(settings, locations):
    """Return (key, text) of the first contradiction, the key as the platform writes it; None without one."""
    for name, allowed in ALLOWED_VALUES.items():
        if settings.get(name, allowed[0]) not in allowed:
            return PATHS[name], f"has the unknown value {str(settings[name])[:40]!r}"
    for name in NON_NEGATIVE:
        values = settings.get(name, 0)
        for value in values if isinstance(values, list) else [values]:
            if not isfinite(value) or value < 0 or name in FRACTIONS and value > 1:
                return PATHS[name], f"is out of range: {value}"
    for name in BY_LOCATION:
        if (values := settings.get(name)) and len(values) != locations:
            return PATHS[name], f"has {len(values)} values for {locations} failureDomains"
    if not 0 <= settings.get("my_location", 0) < locations:
        return PATHS[
            "my_location"
        ], f"is not one of the {locations} failureDomains: {settings['my_location']}"
    # A front would wait for load reports that never come, or operators would assume that it receives them.
    if settings.get("load_by") == "none" and settings.get("load_fields"):
        return PATHS["load_fields"], f"lists fields, but {PATHS['load_by']} says that no loads are reported"
    return None
