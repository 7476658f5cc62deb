"""Copies of the store's tables, and their passing on between instances."""

from sniperudder.feeds._choices import rank_candidates
from sniperudder.feeds._choices import SourceChoice
from sniperudder.feeds._codec import decode_reply
from sniperudder.feeds._codec import decode_request
from sniperudder.feeds._codec import encode_reply
from sniperudder.feeds._codec import encode_request
from sniperudder.feeds._codec import FeedError
from sniperudder.feeds._copies import TableCopy
from sniperudder.feeds._records import Changes
from sniperudder.feeds._records import FeedReply
from sniperudder.feeds._records import FeedRequest

__all__ = [
    'Changes',
    'FeedError',
    'FeedReply',
    'FeedRequest',
    'SourceChoice',
    'TableCopy',
    'decode_reply',
    'decode_request',
    'encode_reply',
    'encode_request',
    'rank_candidates',
]
