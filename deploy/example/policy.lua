-- An operators' script: it returns a table; what it leaves out keeps its default (see the README).
local seconds_a_minute = 60
return {
  idle_spot_s = 1 * seconds_a_minute, -- keep cheap machines longer between jobs
  patience = 0.2,                     -- wait less for cheap machines
}
