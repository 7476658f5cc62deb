"""Grammar of queries and commands for the LALR parser of lark."""

GRAMMAR = r"""
query: "show"i NAME clause*                     -> show_table
     | "show"i ALL "of"i NAME clause*           -> show_all
     | "show"i items "of"i NAME clause*         -> show_items
     | "count"i NAME clause*                    -> count_rows

items: item ("," item)*
item: NAME                                      -> plain_item
    | NAME "(" [NAME] ")"                       -> aggregate_item

?clause: "by"i NAME ("," NAME)*                 -> by
       | "where"i condition                     -> where
       | "since"i DURATION                      -> since
       | "order"i "by"i ordering ("," ordering)* -> order
       | "limit"i INTEGER                       -> limit

ordering: item [direction]
direction: ASC | DESC

?condition: both ("or"i both)*                  -> any_of
?both: factor ("and"i factor)*                  -> all_of
?factor: NOT factor                             -> negate
       | "(" condition ")"
       | NAME COMPARATOR value                  -> compare
       | NAME "in"i value ".." value            -> between
       | NAME "in"i "(" value ("," value)* ")"  -> one_of
       | NAME "~" (STRING | GLOB | NAME)        -> match

value: STRING | NAME | INTEGER | DECIMAL | DURATION | PERCENT

command: change [FORCE]                         -> submit
       | "plan"i change                         -> plan
       | "verify"i name                         -> verify
       | "watch"i name                          -> watch

?change: "withdraw"i "endpoint"i name           -> withdraw
       | "return"i "endpoint"i name             -> give_back
       | "stop"i "instance"i name               -> stop
       | "shed"i "rank"i RANK PERCENT           -> shed_rank
       | "shed"i "organisation"i name PERCENT   -> shed_organisation
       | "shed"i "model"i name PERCENT          -> shed_model
       | "allow"i "endpoint"i name "ranks"i ranks -> allow
       | "floor"i "rank"i RANK PERCENT          -> floor
       | "weight"i "organisation"i name number  -> weight

ranks: RANK ("," RANK)*
name: WORD | STRING
number: INTEGER | DECIMAL

ALL.4: /all(?![\w.-])/i
NOT.4: /not(?![\w.-])/i
COMPARATOR: "=" | "!=" | "<=" | ">=" | "<" | ">"
RANK: /(urgent|middle|least)(?![\w.:-])/i
FORCE: /force(?![\w.:-])/i
ASC: /asc(?![\w.-])/i
DESC: /desc(?![\w.-])/i
NAME: /[A-Za-z_](?:[\w-]|\.(?!\.))*/
GLOB.2: /[\w.:-]*[*?][\w.:*?-]*/
WORD: /\w[\w.:-]*/
DURATION.3: /\d+(\.\d+)?(ms|s|m|h|d)(?![\w])/
PERCENT.3: /\d+(\.\d+)?%/
DECIMAL.2: /-?\d+\.\d+(?![\w%])/
INTEGER.1: /-?\d+(?![\w%])/
STRING: /"[^"\n]*"/

%ignore /\s+/
"""

# Descriptions of the grammar's terminals for error messages.
TERMINAL_LABELS = {
    'NAME': 'a name',
    'WORD': 'a name',
    'STRING': 'a text in quotes',
    'GLOB': 'a pattern',
    'COMPARATOR': '= != < <= > >=',
    'FORCE': '"force"',
    '__ANON_1': '"rank"',
    'RANK': 'urgent, middle or least',
    'INTEGER': 'a whole number',
    'DECIMAL': 'a number',
    'DURATION': 'a duration such as 5m',
    'PERCENT': 'a percentage such as 20%',
    '$END': 'the end',
    'COMMA': '","',
    'LPAR': '"("',
    'RPAR': '")"',
    'TILDE': '"~"',
    '__ANON_0': '".."',
}
