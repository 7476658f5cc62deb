"""Grammar of a single statement, for the LALR parser of lark."""

GRAMMAR = r"""
?start: "model" NAME "layers" INTEGER                  -> model
      | "endpoint" NAME "layers" INTEGER ".." INTEGER option* -> endpoint
      | "service" NAME option*                         -> service
      | "entry" NAME                                   -> entry
      | "organisation" NAME option*                    -> organisation
      | "start" [NAME ("," NAME)*]                     -> begin
      | "kill" NAME                                    -> kill
      | "freeze" NAME                                  -> freeze
      | "thaw" NAME                                    -> thaw
      | "stop" NAME                                    -> stop
      | "cut" NAME "from" NAME                         -> cut
      | "join" NAME "to" NAME                          -> join
      | "platform" "down"                              -> platform_down
      | "platform" "up"                                -> platform_up
      | "platform" "slow" DURATION                     -> platform_slow
      | "platform" "loses" INTEGER "answers"           -> platform_loses
      | "fault" NAME NAME value                        -> fault
      | "heal" NAME                                    -> heal
      | "command" STRING                               -> command
      | "withdraw" NAME                                -> withdraw
      | "return" NAME                                  -> give_back
      | "send" INTEGER RANK "of" NAME option*          -> send
      | "order" INTEGER "of" NAME "at" NAME option*    -> order
      | "wait" DURATION                                -> wait
      | "expect" "done" "within" DURATION              -> expect_done
      | "expect" "in" "force" "within" DURATION        -> expect_in_force
      | "expect" "stopped" NAME "within" DURATION      -> expect_stopped
      | "expect" "ready" NAME "within" DURATION        -> expect_ready
      | "expect" "idle" NAME "after" DURATION          -> expect_idle
      | "expect" "crashed" "at" "most" INTEGER         -> expect_crashed
      | "expect" "answered" PERCENT "of" RANK          -> expect_answered

option: "step" DURATION                                -> step_s
      | "streams" INTEGER                              -> max_streams
      | "work" DURATION                                -> work_s
      | "weight" number                                -> weight
      | "rate" number                                  -> rate
      | "tokens" INTEGER                               -> tokens
      | "key" STRING                                   -> key
      | "prompt" STRING                                -> prompt
      | "through" NAME                                 -> through
      | "deduplicates"                                 -> deduplicates
      | "lookup"                                       -> lookup

value: INTEGER | DECIMAL | DURATION | STRING | TRUTH
number: INTEGER | DECIMAL

RANK: /(urgent|middle|least)(?![\w.-])/
TRUTH.2: /(true|false)(?![\w.-])/
NAME: /[A-Za-z][\w-]*/
DURATION.3: /\d+(\.\d+)?(ms|s|m)(?!\w)/
PERCENT.3: /\d+(\.\d+)?%/
DECIMAL.2: /\d+\.\d+(?![\w%])/
INTEGER.1: /\d+(?![\w%])/
STRING: /"[^"\n]*"/

%ignore /[ \t]+/
%ignore /#[^\n]*/
"""

LABELS = {
    'NAME': 'a name',
    'RANK': 'urgent, middle or least',
    'TRUTH': 'true or false',
    'DURATION': 'a duration such as 5s',
    'PERCENT': 'a percentage',
    'DECIMAL': 'a number',
    'INTEGER': 'a whole number',
    'STRING': 'a text in quotes',
    'COMMA': '","',
    '__ANON_0': '".."',
    '$END': 'the end',
}
